package review;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/** A machine of the deployment: a loopback address, and the node process that runs there. */
final class Machine implements AutoCloseable {

  /** Ports that are the same on all machines, as the platform gives them. */
  record Ports(int outbound, int readiness, int control, int nodes, int metrics) {

    /** Finds ports that are free on all loopback addresses in use. */
    static Ports free(List<String> hosts) throws IOException {
      List<Integer> found = new ArrayList<>();
      for (int port = 23_000 + (int) (ProcessHandle.current().pid() % 5_000);
          found.size() < 5;
          port++) {
        if (isFree(hosts, port)) {
          found.add(port);
        }
      }
      return new Ports(found.get(0), found.get(1), found.get(2), found.get(3), found.get(4));
    }

    private static boolean isFree(List<String> hosts, int port) {
      for (String host : hosts) {
        try (ServerSocket probe = new ServerSocket()) {
          probe.bind(new InetSocketAddress(InetAddress.getByName(host), port));
        } catch (IOException e) {
          return false;
        }
      }
      return true;
    }
  }

  private final String name;
  private final String host;
  private final String zone;
  private final String service;
  private final Ports ports;
  private final String store;
  private final List<String> seeds;
  private final Path directory;
  private Process process;

  Machine(
      String name,
      String host,
      String zone,
      String service,
      Ports ports,
      String store,
      List<String> seeds,
      Path directory) {
    this.name = name;
    this.host = host;
    this.zone = zone;
    this.service = service;
    this.ports = ports;
    this.store = store;
    this.seeds = seeds;
    this.directory = directory;
  }

  String name() {
    return name;
  }

  String host() {
    return host;
  }

  String zone() {
    return zone;
  }

  String service() {
    return service;
  }

  InetSocketAddress outbound() {
    return new InetSocketAddress(host, ports.outbound());
  }

  /** Starts the node with the command of the deploy file, from the root of the repository. */
  void start() throws IOException {
    boolean first = process == null;
    Path settings = directory.resolve(name + ".json");
    Files.writeString(
        settings,
        """
        {
          "node": "%s", "zone": "%s", "region": "region-1", "host": "%s", "service": "%s",
          "first-start": %b,
          "callers": "%s:%d", "readiness": "%s:%d", "target-reports": "%s:%d",
          "node-port": %d, "metrics-port": %d, "store": "%s",
          "grace-seconds": 6, "retry-share": 0.2, "retry-slack": 64,
          "peers": [%s]
        }
        """
            .formatted(
                name,
                zone,
                host,
                service,
                first,
                host,
                ports.outbound(),
                host,
                ports.readiness(),
                host,
                ports.control(),
                ports.nodes(),
                ports.metrics(),
                store,
                String.join(
                    ",",
                    seeds.stream().map(seed -> "\"" + seed + ":" + ports.control() + "\"").toList())));
    ProcessBuilder builder = new ProcessBuilder(command());
    builder.environment().clear();
    for (String kept : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
      if (System.getenv(kept) != null) {
        builder.environment().put(kept, System.getenv(kept));
      }
    }
    builder.environment().put("AMARANTHMOOR_NODE_FILE", settings.toString());
    File log = directory.resolve(name + ".log").toFile();
    process =
        builder
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(log))
            .start();
  }

  private static List<String> command() throws IOException {
    for (String line : Files.readAllLines(Path.of("deploy/system.toml"))) {
      if (line.startsWith("run = ")) {
        return List.of(line.substring(line.indexOf('"') + 1, line.lastIndexOf('"')).split(" "));
      }
    }
    throw new IOException("the deploy file names no command");
  }

  boolean alive() {
    return process.isAlive();
  }

  long pid() {
    return process.pid();
  }

  void signal(String signal) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + signal, Long.toString(pid())).start().waitFor();
  }

  /** {@return whether the process has ended within a time} */
  boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  /** {@return the status of the readiness check, or -1 without an answer} */
  int ready() {
    try {
      return call(ports.readiness(), "GET", "/-/readyz", "");
    } catch (IOException e) {
      return -1;
    }
  }

  int control(String path, String body) throws IOException {
    return call(ports.control(), "POST", path, body);
  }

  /** {@return the metrics of the node as text} */
  String metrics() throws IOException {
    try (Socket socket = connect(ports.metrics())) {
      socket.getOutputStream().write(Http.ascii("GET /metrics HTTP/1.1\r\nHost: m\r\nConnection: close\r\n\r\n"));
      return new String(socket.getInputStream().readAllBytes());
    }
  }

  private Socket connect(int port) throws IOException {
    Socket socket = new Socket();
    socket.connect(new InetSocketAddress(host, port), 1_000);
    socket.setSoTimeout(1_000);
    return socket;
  }

  private int call(int port, String method, String path, String body) throws IOException {
    try (Socket socket = connect(port)) {
      socket
          .getOutputStream()
          .write(
              Http.ascii(
                  method
                      + " "
                      + path
                      + " HTTP/1.1\r\nHost: n\r\nConnection: close\r\nContent-Type: application/json\r\n"
                      + "Content-Length: "
                      + body.length()
                      + "\r\n\r\n"
                      + body));
      Http.Message head = Http.readHead(Http.buffered(socket.getInputStream()));
      if (head == null) {
        throw new IOException("no answer");
      }
      return head.status();
    }
  }

  @Override
  public void close() {
    if (process != null) {
      process.destroyForcibly();
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }
}
