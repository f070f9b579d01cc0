package review;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/** A small deployment: a store, machines with nodes, and their servers. */
final class Mesh implements AutoCloseable {

  static final String HOST = "desk.example";

  final Store store;
  final List<Machine> machines = new ArrayList<>();
  final List<Server> servers = new ArrayList<>();
  final Journal journal;
  private final Path directory;

  /**
   * Prepares the machines.
   *
   * @param journal the record of the run
   * @param services the service of each machine
   * @param zones the number of the zone of each machine
   */
  Mesh(Journal journal, List<String> services, List<Integer> zones) throws IOException {
    this.journal = journal;
    this.store = new Store();
    this.directory = Files.createTempDirectory("review");
    // Loopback addresses of this process alone, so that scripts may run at the same time.
    long pid = ProcessHandle.current().pid();
    String network = "127." + (1 + pid / 250 % 250) + "." + pid % 250 + ".";
    List<String> hosts =
        IntStream.range(0, services.size()).mapToObj(i -> network + (10 + i)).toList();
    Machine.Ports ports = Machine.Ports.free(hosts);
    for (int i = 0; i < hosts.size(); i++) {
      machines.add(
          new Machine(
              "node-" + i,
              hosts.get(i),
              "zone-" + zones.get(i),
              services.get(i),
              ports,
              store.address(),
              hosts.subList(0, Math.min(3, hosts.size())),
              directory));
    }
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  /** Starts all nodes and a server beside each, and waits until all are ready. */
  void start(String config, Server.Work work, int receiveBufferBytes)
      throws IOException, InterruptedException {
    store.publish(config);
    for (Machine machine : machines) {
      machine.start();
      servers.add(new Server(machine, "i-" + machine.name(), work, receiveBufferBytes));
    }
    long end = System.nanoTime() + 20_000_000_000L;
    while (machines.stream().anyMatch(machine -> machine.ready() != 200)) {
      if (System.nanoTime() > end) {
        throw new IOException("the nodes are not ready after 20 s");
      }
      Thread.sleep(200);
    }
    // Traffic starts 13 s after the machines do; here 6 s after all are ready.
    Thread.sleep(6_000);
    journal.write("ready: all nodes");
  }

  static String route(String name, String prefix, String kind, String service, int timeoutMillis) {
    return """
        {"type":"routes","meta":{"name":"%s"},"spec":{"host":"%s","path_prefix":"%s","kind":"%s",\
        "timeout_ms":%d,"target_latency_ms":%d,"priority":1,"service":"%s","max_attempts":2}}"""
        .formatted(name, HOST, prefix, kind, timeoutMillis, timeoutMillis / 2, service);
  }

  static String config(int version, List<String> services, List<String> routes) {
    List<String> resources = new ArrayList<>(routes);
    for (String service : services) {
      resources.add(
          """
          {"type":"services","meta":{"name":"%s"},"spec":{"health_path":"/healthz","max_conns":260,\
          "protocol":"h1","tls":false}}"""
              .formatted(service));
    }
    resources.add(
        """
        {"type":"limits","meta":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,\
        "header_timeout_ms":3000,"idle_timeout_ms":15000}}""");
    return "{\"version\":\"r" + version + "\",\"resources\":[" + String.join(",", resources) + "]}";
  }

  Path directory() {
    return directory;
  }

  private void end() {
    machines.forEach(Machine::close);
    try (Stream<Path> files = Files.walk(directory)) {
      if (System.getenv("KEEP") == null) {
        files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
      }
    } catch (IOException e) {
      // The folder is a temporary one.
    }
  }

  @Override
  public void close() throws IOException {
    end();
    for (Server server : servers) {
      server.close();
    }
    store.close();
  }
}
