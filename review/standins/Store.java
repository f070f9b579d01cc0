package review;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The platform's store: keyed topics with one partition. While it is down it does nothing, and gives
 * no answer to the calls that reach it.
 */
final class Store implements AutoCloseable {

  private record Stored(String key, byte[] value) {}

  private final ServerSocket socket;
  private final Map<String, List<Stored>> topics = new HashMap<>();
  private volatile boolean down;

  Store() throws IOException {
    socket = new ServerSocket();
    socket.bind(new InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), 256);
    Thread.startVirtualThread(this::accept);
  }

  String address() {
    return "127.0.0.1:" + socket.getLocalPort();
  }

  void setDown(boolean isDown) {
    down = isDown;
  }

  /** Writes the operator's configuration; the return is the acknowledgement. */
  void publish(String config) {
    append("keyed.op", "config", config.getBytes(StandardCharsets.UTF_8));
  }

  private synchronized int append(String topic, String key, byte[] value) {
    List<Stored> records = records(topic);
    records.add(new Stored(key, value));
    notifyAll();
    return records.size() - 1;
  }

  private synchronized List<Stored> records(String topic) {
    return topics.computeIfAbsent(topic, name -> new ArrayList<>());
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        Thread.startVirtualThread(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      connection.setTcpNoDelay(true);
      InputStream in = Http.buffered(connection.getInputStream());
      Http.Message head = Http.readHead(in);
      while (head != null) {
        Http.Message request = Http.readBody(in, head, false);
        if (!request.complete()) {
          return;
        }
        if (down) {
          // No answer on this connection, not even later.
          in.read();
          return;
        }
        byte[] body = answer(request);
        int status = body == null ? 410 : 200;
        byte[] sent = body == null ? Http.ascii("{\"first_offset\":0}") : body;
        connection
            .getOutputStream()
            .write(
                Http.ascii(
                    "HTTP/1.1 " + status + " X\r\nContent-Length: " + sent.length + "\r\n\r\n"));
        connection.getOutputStream().write(sent);
        connection.getOutputStream().flush();
        head = request.closes() ? null : Http.readHead(in);
      }
    } catch (IOException | InterruptedException e) {
      // The node closed the connection.
    }
  }

  private byte[] answer(Http.Message request) throws InterruptedException {
    Map<String, String> query = new LinkedHashMap<>();
    String uri = request.path();
    for (String pair : uri.replaceAll("^[^?]*\\??", "").split("&")) {
      int equals = pair.indexOf('=');
      query.put(pair.substring(0, Math.max(0, equals)), pair.substring(equals + 1));
    }
    String topic = query.get("topic");
    return switch (uri.replaceAll("\\?.*", "")) {
      case "/-/log-append" -> append(topic, request.body());
      case "/-/log-newest" -> newest(topic);
      case "/-/log-read" ->
          read(
              topic,
              Integer.parseInt(query.get("from")),
              Long.parseLong(query.getOrDefault("wait_ms", "0")));
      default -> Http.ascii("{}");
    };
  }

  private byte[] append(String topic, byte[] body) {
    ByteBuffer in = ByteBuffer.wrap(body);
    int first = -1;
    int last = -1;
    while (in.hasRemaining()) {
      int length = in.getInt();
      byte[] key = new byte[in.get() & 0xFF];
      in.get(key);
      byte[] value = new byte[length - 1 - key.length];
      in.get(value);
      last = append(topic, new String(key, StandardCharsets.UTF_8), value);
      first = first < 0 ? last : first;
    }
    return Http.ascii("{\"offset\":" + first + ",\"end_offset\":" + (last + 1) + "}");
  }

  private synchronized byte[] newest(String topic) {
    Map<String, String> items = new LinkedHashMap<>();
    List<Stored> records = records(topic);
    for (int i = 0; i < records.size(); i++) {
      Stored record = records.get(i);
      items.remove(record.key());
      items.put(
          record.key(),
          "{\"key\":\""
              + record.key()
              + "\",\"value\":\""
              + Base64.getEncoder().encodeToString(record.value())
              + "\",\"offset\":"
              + i
              + "}");
    }
    return Http.ascii(
        "{\"items\":["
            + String.join(",", items.values())
            + "],\"has_more\":false,\"end_offset\":"
            + records.size()
            + "}");
  }

  private synchronized byte[] read(String topic, int from, long waitMillis)
      throws InterruptedException {
    List<Stored> records = records(topic);
    if (from > records.size()) {
      return null;
    }
    long end = System.nanoTime() + waitMillis * 1_000_000L;
    while (records.size() <= from && System.nanoTime() < end) {
      wait(Math.max(1, (end - System.nanoTime()) / 1_000_000L));
    }
    ByteBuffer out = ByteBuffer.allocate(4 << 20);
    out.putLong(records.size()).putLong(0);
    for (Stored record : records.subList(from, records.size())) {
      byte[] key = record.key().getBytes(StandardCharsets.UTF_8);
      out.putInt(1 + key.length + record.value().length).put((byte) key.length);
      out.put(key).put(record.value());
    }
    byte[] bytes = new byte[out.position()];
    out.flip().get(bytes);
    return bytes;
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }
}
