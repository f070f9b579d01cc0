import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Stand-ins of the platform's store, of servers, of machines and of clients, for the scripts of
 * this review. They follow the protocol page and use sockets only.
 */
final class Standins {

  private Standins() {}

  /** What a script saw, with the time since its start. */
  static final class Record {
    private final Path file;
    private final long startNanos = System.nanoTime();

    Record(Path file) throws IOException {
      this.file = file;
      Files.writeString(file, "");
    }

    synchronized void line(String text) {
      long millis = (System.nanoTime() - startNanos) / 1_000_000;
      try {
        Files.writeString(
            file,
            String.format("%8.3f %s%n", millis / 1000.0, text),
            StandardOpenOption.APPEND);
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  /** The head of a message, and its body. */
  static final class Message {
    String line;
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];
    /** Whether the body came to its end as its framing states. */
    boolean complete = true;

    String header(String name) {
      for (String[] header : headers) {
        if (header[0].equalsIgnoreCase(name)) {
          return header[1];
        }
      }
      return "";
    }

    int status() {
      return Integer.parseInt(line.split(" ")[1]);
    }
  }

  /** Reads a line of bytes as ISO-8859-1, or null at the end of the stream. */
  static String readLine(InputStream in) throws IOException {
    ByteArrayOutputStream line = new ByteArrayOutputStream();
    int next = in.read();
    if (next < 0) {
      return null;
    }
    while (next >= 0 && next != '\n') {
      line.write(next);
      next = in.read();
    }
    if (next < 0) {
      throw new EOFException("the connection ended within a line");
    }
    String text = line.toString(StandardCharsets.ISO_8859_1);
    return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
  }

  static Message readHead(InputStream in) throws IOException {
    String first = readLine(in);
    if (first == null) {
      return null;
    }
    Message message = new Message();
    message.line = first;
    String line = readLine(in);
    while (line != null && !line.isEmpty()) {
      int colon = line.indexOf(':');
      message.headers.add(
          new String[] {line.substring(0, Math.max(0, colon)), line.substring(colon + 1).trim()});
      line = readLine(in);
    }
    if (line == null) {
      throw new EOFException("the connection ended within a head");
    }
    return message;
  }

  /** Reads the body that the framing of a message announces. */
  static void readBody(Message message, InputStream in, boolean untilEnd) throws IOException {
    if (message.header("Transfer-Encoding").equalsIgnoreCase("chunked")) {
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      while (true) {
        String size = readLine(in);
        if (size == null) {
          throw new EOFException("the connection ended within a chunked body");
        }
        int length = Integer.parseInt(size.split(";")[0].trim(), 16);
        if (length == 0) {
          String trailer = readLine(in);
          while (trailer != null && !trailer.isEmpty()) {
            trailer = readLine(in);
          }
          break;
        }
        byte[] chunk = in.readNBytes(length);
        if (chunk.length < length) {
          throw new EOFException("the connection ended within a chunk");
        }
        body.writeBytes(chunk);
        readLine(in);
      }
      message.body = body.toByteArray();
      return;
    }
    String length = message.header("Content-Length");
    if (!length.isEmpty()) {
      int expected = Integer.parseInt(length);
      message.body = in.readNBytes(expected);
      if (message.body.length < expected) {
        throw new EOFException("the connection ended within a body");
      }
    } else if (untilEnd) {
      message.body = in.readAllBytes();
    }
  }

  /** The platform's store: keyed topics of one partition, kept in memory. */
  static final class Store implements Closeable {
    private record Stored(String key, byte[] value) {}

    private final ServerSocket socket;
    private final Map<String, List<Stored>> topics = new HashMap<>();
    private final List<Socket> open = new CopyOnWriteArrayList<>();
    private volatile boolean silent;

    Store() throws IOException {
      socket = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
      Thread.ofVirtual().start(this::acceptAll);
    }

    String address() {
      return "127.0.0.1:" + socket.getLocalPort();
    }

    /**
     * Sets whether the store is silent. A call that arrives meanwhile, or whose answer is due
     * meanwhile, gets no answer, and its connection returns nothing further; one that waits for a
     * record after the end is answered.
     */
    void setSilent(boolean changed) {
      silent = changed;
    }

    synchronized void put(String topic, String key, String value) {
      topics
          .computeIfAbsent(topic, name -> new ArrayList<>())
          .add(new Stored(key, value.getBytes(StandardCharsets.UTF_8)));
      notifyAll();
    }

    private void acceptAll() {
      while (!socket.isClosed()) {
        try {
          Socket connection = socket.accept();
          open.add(connection);
          Thread.ofPlatform().daemon().start(() -> serve(connection));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        InputStream in = new BufferedInputStream(connection.getInputStream());
        while (true) {
          Message request = readHead(in);
          if (request == null) {
            return;
          }
          readBody(request, in, false);
          boolean lost = silent;
          byte[] body = lost ? null : respond(request);
          if (lost || silent) {
            // The connection stays open until the node closes it.
            while (in.read() >= 0) {}
            return;
          }
          String head =
              body == null
                  ? "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n"
                  : "HTTP/1.1 200 OK\r\nContent-Length: " + body.length + "\r\n\r\n";
          OutputStream out = connection.getOutputStream();
          out.write(head.getBytes(StandardCharsets.US_ASCII));
          if (body != null) {
            out.write(body);
          }
          out.flush();
        }
      } catch (IOException | InterruptedException e) {
        // The node closed the connection.
      } finally {
        open.remove(connection);
      }
    }

    private byte[] respond(Message request) throws InterruptedException {
      String target = request.line.split(" ")[1];
      Map<String, String> query = new HashMap<>();
      int mark = target.indexOf('?');
      if (mark >= 0) {
        for (String pair : target.substring(mark + 1).split("&")) {
          int equals = pair.indexOf('=');
          query.put(
              pair.substring(0, equals),
              java.net.URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
        }
      }
      String topic = query.getOrDefault("topic", "");
      return switch (mark < 0 ? target : target.substring(0, mark)) {
        case "/-/log-append" -> append(topic, request.body);
        case "/-/log-newest" -> newest(topic, query.getOrDefault("after", ""));
        case "/-/log-read" ->
            read(
                topic,
                Integer.parseInt(query.get("from")),
                Long.parseLong(query.getOrDefault("wait_ms", "0")));
        default -> null;
      };
    }

    private synchronized byte[] append(String topic, byte[] body) {
      List<Stored> records = topics.computeIfAbsent(topic, name -> new ArrayList<>());
      int first = records.size();
      ByteBuffer buffer = ByteBuffer.wrap(body);
      while (buffer.remaining() >= 4) {
        byte[] content = new byte[buffer.getInt()];
        buffer.get(content);
        int keyLength = content[0] & 0xFF;
        String key = new String(content, 1, keyLength, StandardCharsets.UTF_8);
        records.add(
            new Stored(key, java.util.Arrays.copyOfRange(content, 1 + keyLength, content.length)));
      }
      notifyAll();
      return ("{\"offset\":" + first + ",\"end_offset\":" + records.size() + "}")
          .getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] newest(String topic, String after) {
      List<Stored> records = topics.getOrDefault(topic, List.of());
      TreeMap<String, byte[]> byKey = new TreeMap<>();
      records.forEach(record -> byKey.put(record.key(), record.value()));
      StringBuilder items = new StringBuilder();
      int offset = 0;
      for (Map.Entry<String, byte[]> entry : byKey.tailMap(after, after.isEmpty()).entrySet()) {
        if (entry.getKey().equals(after) && !after.isEmpty()) {
          continue;
        }
        items.append(items.length() == 0 ? "" : ",");
        items
            .append("{\"key\":\"")
            .append(entry.getKey())
            .append("\",\"value\":\"")
            .append(Base64.getEncoder().encodeToString(entry.getValue()))
            .append("\",\"offset\":")
            .append(offset++)
            .append("}");
      }
      return ("{\"items\":["
              + items
              + "],\"has_more\":false,\"end_offset\":"
              + records.size()
              + "}")
          .getBytes(StandardCharsets.UTF_8);
    }

    private synchronized byte[] read(String topic, int from, long waitMillis)
        throws InterruptedException {
      long end = System.nanoTime() + waitMillis * 1_000_000;
      while (topics.getOrDefault(topic, List.of()).size() <= from) {
        long left = (end - System.nanoTime()) / 1_000_000;
        if (left <= 0) {
          break;
        }
        wait(left);
      }
      List<Stored> records = topics.getOrDefault(topic, List.of());
      ByteArrayOutputStream body = new ByteArrayOutputStream();
      body.writeBytes(ByteBuffer.allocate(16).putLong(records.size()).putLong(0).array());
      for (Stored record : records.subList(Math.min(from, records.size()), records.size())) {
        byte[] key = record.key().getBytes(StandardCharsets.UTF_8);
        ByteBuffer bytes = ByteBuffer.allocate(5 + key.length + record.value().length);
        bytes.putInt(1 + key.length + record.value().length).put((byte) key.length);
        bytes.put(key).put(record.value());
        body.writeBytes(bytes.array());
      }
      return body.toByteArray();
    }

    @Override
    public void close() throws IOException {
      socket.close();
      for (Socket connection : open) {
        connection.close();
      }
    }
  }

  /** What a server does with a request; it writes the whole response. */
  interface Behaviour {
    void respond(Server server, Message request, OutputStream out, Socket connection)
        throws IOException, InterruptedException;
  }

  /** A server beside a node. It keeps connections, and serves one request at a time on each. */
  static final class Server implements Closeable {
    final String host;
    final String service;
    final long born = System.currentTimeMillis();
    final ServerSocket socket;
    volatile String id;
    volatile String state = "ready";
    volatile int healthStatus = 200;
    private volatile Behaviour behaviour;
    private final AtomicInteger sequence = new AtomicInteger();
    private final Record record;
    final AtomicInteger connections = new AtomicInteger();

    Server(String host, String service, String id, Record record, Behaviour behaviour)
        throws IOException {
      this.host = host;
      this.service = service;
      this.id = id;
      this.record = record;
      this.behaviour = behaviour;
      this.socket = new ServerSocket(0, 200, InetAddress.getByName(host));
      Thread.ofVirtual().start(this::acceptAll);
    }

    void behave(Behaviour next) {
      behaviour = next;
    }

    String address() {
      return host + ":" + socket.getLocalPort();
    }

    /** What the server reports to its node. */
    String report() {
      return "{\"address\":\""
          + address()
          + "\",\"born\":"
          + born
          + ",\"info\":{\"service\":\""
          + service
          + "\",\"version\":\"v1\",\"zone\":\"z\",\"slots\":6},\"status\":{\"state\":\""
          + state
          + "\",\"sequence\":"
          + sequence.incrementAndGet()
          + ",\"cold_left_ms\":0}}";
    }

    private void acceptAll() {
      while (!socket.isClosed()) {
        try {
          Socket connection = socket.accept();
          connections.incrementAndGet();
          Thread.ofPlatform().daemon().start(() -> serve(connection));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket connection) {
      try (connection) {
        connection.setTcpNoDelay(true);
        InputStream in = new BufferedInputStream(connection.getInputStream());
        OutputStream out = connection.getOutputStream();
        while (!connection.isClosed()) {
          Message request = readHead(in);
          if (request == null) {
            return;
          }
          readBody(request, in, false);
          if (request.line.startsWith("GET /healthz ")) {
            out.write(
                ("HTTP/1.1 "
                        + healthStatus
                        + " X\r\nX-Instance-Id: "
                        + id
                        + "\r\nX-Server-Load: 0,0,6,100\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            out.flush();
            continue;
          }
          String expected = request.header("X-Expect-Instance");
          if (!expected.isEmpty() && !expected.equals(id)) {
            record.line("server " + id + " 421 " + request.line);
            out.write(
                ("HTTP/1.1 421 Misdirected Request\r\nX-Request-Id: "
                        + request.header("X-Request-Id")
                        + "\r\nX-Instance-Id: "
                        + id
                        + "\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.US_ASCII));
            out.flush();
            continue;
          }
          record.line(
              "server "
                  + id
                  + " ("
                  + service
                  + ") runs id="
                  + request.header("X-Request-Id")
                  + " caller="
                  + request.header("X-Caller")
                  + " line=\""
                  + request.line
                  + "\" host="
                  + request.header("Host")
                  + " body="
                  + request.body.length);
          behaviour.respond(this, request, out, connection);
          out.flush();
        }
      } catch (IOException e) {
        // The node closed the connection.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  /** A sound answer: the id, the stamp, the load and the whole body. */
  static byte[] answer(Message request, int status, byte[] body) {
    byte[] head =
        ("HTTP/1.1 "
                + status
                + " X\r\nX-Request-Id: "
                + request.header("X-Request-Id")
                + "\r\nX-Server-Stamp: s."
                + request.header("X-Request-Id")
                + "\r\nX-Server-Load: 1,0,6,100\r\nContent-Length: "
                + body.length
                + "\r\n\r\n")
            .getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = java.util.Arrays.copyOf(head, head.length + body.length);
    System.arraycopy(body, 0, all, head.length, body.length);
    return all;
  }

  static Behaviour sound(int workMillis) {
    return (server, request, out, connection) -> {
      Thread.sleep(workMillis);
      out.write(answer(request, 200, ("ok " + request.header("X-Request-Id")).getBytes()));
    };
  }

  /** Ports that all nodes of a script use, each on a host of its own. */
  record Ports(int callers, int readiness, int reports, int nodes, int metrics) {
    static Ports free() throws IOException {
      ServerSocket[] sockets = new ServerSocket[5];
      for (int i = 0; i < sockets.length; i++) {
        sockets[i] = new ServerSocket();
        sockets[i].setReuseAddress(true);
        sockets[i].bind(new InetSocketAddress("0.0.0.0", 0));
      }
      Ports ports =
          new Ports(
              sockets[0].getLocalPort(),
              sockets[1].getLocalPort(),
              sockets[2].getLocalPort(),
              sockets[3].getLocalPort(),
              sockets[4].getLocalPort());
      for (ServerSocket socket : sockets) {
        socket.close();
      }
      return ports;
    }
  }

  /** A machine: a node process, started by the command of the deploy file, and its server. */
  static final class Machine implements Closeable {
    final String name;
    final String zone;
    final String host;
    final Ports ports;
    final Server server;
    private final Path directory;
    private final Store store;
    private final List<String> peers;
    private final Record record;
    private Process process;
    private int starts;
    private volatile boolean reporting = true;
    private volatile boolean closed;

    Machine(
        String name,
        String zone,
        Ports ports,
        Server server,
        Store store,
        List<String> peers,
        Path directory,
        Record record) {
      this.name = name;
      this.zone = zone;
      this.host = server.host;
      this.ports = ports;
      this.server = server;
      this.store = store;
      this.peers = peers;
      this.directory = directory;
      this.record = record;
    }

    /** The fields of the settings template of the deploy file. */
    private String settings() {
      StringBuilder seeds = new StringBuilder();
      for (String peer : peers) {
        seeds.append(seeds.length() == 0 ? "" : ",").append("\"").append(peer).append(":1\"");
      }
      return """
      {"node":"%s","zone":"%s","region":"r","host":"%s","service":"%s","first-start":%b,
       "callers":"%s:%d","readiness":"%s:%d","target-reports":"%s:%d",
       "node-port":%d,"metrics-port":%d,"store":"%s",
       "grace-seconds":6,"retry-share":0.2,"retry-slack":64,"peers":[%s]}
      """
          .formatted(
              name,
              zone,
              host,
              server.service,
              starts == 0,
              host,
              ports.callers(),
              host,
              ports.readiness(),
              host,
              ports.reports(),
              ports.nodes(),
              ports.metrics(),
              store.address(),
              seeds);
    }

    void start() throws IOException {
      Path file = directory.resolve(name + ".json");
      Files.writeString(file, settings());
      starts++;
      ProcessBuilder builder = new ProcessBuilder(command());
      builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
      builder.environment().put("AMARANTHMOOR_NODE_FILE", file.toString());
      process =
          builder
              .redirectErrorStream(true)
              .redirectOutput(
                  ProcessBuilder.Redirect.appendTo(directory.resolve(name + ".log").toFile()))
              .start();
      record.line("machine " + name + " starts pid=" + process.pid());
      if (starts == 1) {
        // Also if the script is interrupted.
        Runtime.getRuntime().addShutdownHook(new Thread(() -> process.destroyForcibly()));
        Thread.ofPlatform().daemon().start(this::reportAll);
      }
    }

    private static List<String> command() throws IOException {
      for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
        if (line.startsWith("run = \"")) {
          return List.of(line.substring(7, line.length() - 1).split(" "));
        }
      }
      throw new IOException("the deploy file names no command");
    }

    private void reportAll() {
      while (!closed) {
        if (reporting) {
          reportOnce();
        }
        try {
          Thread.sleep(700);
        } catch (InterruptedException e) {
          return;
        }
      }
    }

    void setReporting(boolean reports) {
      reporting = reports;
    }

    /** Sends one report, and returns the status of the answer or -1. */
    int reportOnce() {
      return control("POST /-/Instances.Heartbeat/" + server.id, server.report());
    }

    int control(String line, String body) {
      try {
        return exchange(
                ports.reports(),
                line
                    + " HTTP/1.1\r\nHost: n\r\nContent-Type: application/json\r\nContent-Length: "
                    + body.length()
                    + "\r\n\r\n"
                    + body,
                1000)
            .status();
      } catch (IOException | RuntimeException e) {
        return -1;
      }
    }

    boolean ready() {
      try {
        return exchange(ports.readiness(), "GET /-/readyz HTTP/1.1\r\nHost: n\r\n\r\n", 1000)
                .status()
            == 200;
      } catch (IOException | RuntimeException e) {
        return false;
      }
    }

    /** Sends bytes on a new connection and reads the response. */
    Message exchange(int port, String text, int timeoutMillis) throws IOException {
      try (Socket socket = new Socket()) {
        socket.connect(new InetSocketAddress(host, port), timeoutMillis);
        socket.setSoTimeout(timeoutMillis);
        socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().flush();
        InputStream in = new BufferedInputStream(socket.getInputStream());
        Message response = readHead(in);
        if (response == null) {
          throw new EOFException("the connection was closed without an answer");
        }
        readBody(response, in, true);
        return response;
      }
    }

    /** Sends a client's request on a new connection; the result is for the record. */
    String call(String id, String text, int timeoutMillis) {
      record.line("client sends id=" + id + " " + text.lines().findFirst().orElse(""));
      String result;
      try {
        Message response = exchange(ports.callers(), text, timeoutMillis);
        result =
            response.status()
                + " id="
                + response.header("X-Request-Id")
                + " stamp="
                + response.header("X-Server-Stamp")
                + " body="
                + new String(response.body, StandardCharsets.ISO_8859_1)
                    .lines()
                    .findFirst()
                    .orElse("");
      } catch (IOException | RuntimeException e) {
        result = "none: " + e;
      }
      record.line("client got id=" + id + " " + result);
      return result;
    }

    void signal(String signal) throws IOException, InterruptedException {
      record.line("machine " + name + " signal " + signal);
      new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid())).start().waitFor();
    }

    void kill() throws InterruptedException {
      record.line("machine " + name + " killed");
      process.destroyForcibly().waitFor(10, TimeUnit.SECONDS);
    }

    Process process() {
      return process;
    }

    boolean alive() {
      return process.isAlive();
    }

    void awaitReady(long millis) throws InterruptedException {
      long end = System.nanoTime() + millis * 1_000_000;
      while (!ready()) {
        if (System.nanoTime() > end || !process.isAlive()) {
          throw new IllegalStateException("node " + name + " did not become ready");
        }
        Thread.sleep(100);
      }
    }

    /** Repeats an ordinary request until it is served. */
    void awaitServing(String request, long millis) throws InterruptedException {
      long end = System.nanoTime() + millis * 1_000_000;
      int count = 0;
      while (true) {
        String id = "warm" + name + count++;
        if (call(id, request.replace("%ID%", id), 3000).startsWith("200")) {
          return;
        }
        if (System.nanoTime() > end) {
          throw new IllegalStateException("node " + name + " does not serve");
        }
        Thread.sleep(200);
      }
    }

    @Override
    public void close() throws IOException {
      closed = true;
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
      server.close();
    }
  }

  /** A directory for settings and logs, which is deleted at the end. */
  static Path directory() throws IOException {
    return Files.createTempDirectory("review-2-");
  }

  static void delete(Path directory) {
    try (var files = Files.list(directory)) {
      for (Path file : files.toList()) {
        Files.deleteIfExists(file);
      }
      Files.deleteIfExists(directory);
    } catch (IOException e) {
      // What is left lies in the temporary folder.
    }
  }

  static Map<String, String> map() {
    return new LinkedHashMap<>();
  }
}
