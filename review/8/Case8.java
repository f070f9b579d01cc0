import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * The store is silent for some seconds. Versions that are acknowledged after its return are not in
 * force at any machine for up to twenty seconds.
 */
final class Case8 {

  private static final int MACHINES = 6;
  private static final long EARLIER_CHANGE_AT = 2_000;
  private static final long SILENT_AT = 18_000;
  private static final long SILENT_MILLIS = 8_000;
  private static final long CHANGE_AT = 27_500;
  private static final long END_AT = 46_000;
  private static final long CONFIG_MILLIS = 2_000;
  private static final long STABLE_MILLIS = 3_000;
  private static final int PAUSE_MILLIS = 100;

  private static final String REQUEST =
      "GET /lohu930/2f HTTP/1.1\r\nHost: ficu95.example\r\nX-Request-Id: %ID%\r\n"
          + "X-Deadline-Ms: 1200\r\n\r\n";

  private static String config(int version, String service, int timeoutMillis) {
    return """
        {"version":"r%d","resources":[
         {"type":"routes","meta":{"name":"r-browse"},"spec":{"host":"ficu95.example","path_prefix":"/lohu930/",
          "kind":"safe","timeout_ms":%d,"target_latency_ms":500,"priority":2,"service":"%s","max_attempts":2}},
         {"type":"services","meta":{"name":"huvo11a"},"spec":{"health_path":"/healthz","max_conns":260}},
         {"type":"services","meta":{"name":"wuno96b"},"spec":{"health_path":"/healthz","max_conns":260}},
         {"type":"limits","meta":{},"spec":{"max_header_bytes":16384,"max_body_bytes":67108864,
          "header_timeout_ms":3000,"idle_timeout_ms":15000}}]}"""
        .formatted(version, timeoutMillis, service);
  }

  public static void main(String[] arguments) throws Exception {
    boolean trouble = !arguments[1].equals("0");
    Standins.Record record = new Standins.Record(Path.of(arguments[0], "record.txt"));
    Path directory = Standins.directory();
    int status = 2;
    List<Standins.Machine> machines = new ArrayList<>();
    try (Standins.Store store = new Standins.Store()) {
      store.put("keyed.op", "config", config(7, "huvo11a", 1_200));
      Standins.Ports ports = Standins.Ports.free();
      for (int i = 1; i <= MACHINES; i++) {
        // Each zone has a machine of each service.
        String service = i % 2 == 1 ? "huvo11a" : "wuno96b";
        String id = service + "-" + i;
        Standins.Server server =
            new Standins.Server(
                "127.8.1." + i,
                service,
                id,
                record,
                (self, request, out, connection) -> {
                  Thread.sleep(20);
                  out.write(Standins.answer(request, 200, self.service.getBytes()));
                });
        machines.add(
            new Standins.Machine(
                "n" + i,
                "z" + (i + 1) / 2,
                ports,
                server,
                store,
                List.of("127.8.1.1", "127.8.1.3", "127.8.1.5"),
                directory,
                record));
      }
      for (Standins.Machine machine : machines) {
        machine.start();
      }
      for (Standins.Machine machine : machines) {
        machine.awaitReady(30_000);
        machine.awaitServing(REQUEST, 20_000);
      }
      status = play(machines, store, trouble, record) ? 1 : 0;
    } catch (IllegalStateException | IOException e) {
      record.line("the case could not run: " + e);
    } finally {
      for (Standins.Machine machine : machines) {
        machine.close();
      }
      Standins.delete(directory);
    }
    record.line("exit status " + status);
    System.out.println("exit status " + status);
    Runtime.getRuntime().halt(status);
  }

  // Returns whether the rule was broken.
  private static boolean play(
      List<Standins.Machine> machines,
      Standins.Store store,
      boolean trouble,
      Standins.Record record)
      throws Exception {
    ExecutorService clients = Executors.newCachedThreadPool();
    AtomicInteger byOld = new AtomicInteger();
    AtomicInteger byNew = new AtomicInteger();
    boolean changedEarlier = false;
    boolean wentSilent = false;
    boolean returned = false;
    boolean changed = false;
    int calls = 0;
    long begin = System.nanoTime();
    while (true) {
      long millis = (System.nanoTime() - begin) / 1_000_000;
      if (!changedEarlier && millis >= EARLIER_CHANGE_AT) {
        changedEarlier = true;
        store.put("keyed.op", "config", config(8, "huvo11a", 1_300));
        record.line("operator: version r8 acknowledged (another timeout)");
      }
      if (trouble && !wentSilent && millis >= SILENT_AT) {
        wentSilent = true;
        store.setSilent(true);
        record.line("store: silent");
      }
      if (trouble && !returned && millis >= SILENT_AT + SILENT_MILLIS) {
        returned = true;
        store.setSilent(false);
        record.line("store: answers again");
      }
      if (!changed && millis >= CHANGE_AT) {
        changed = true;
        store.put("keyed.op", "config", config(9, "wuno96b", 1_300));
        record.line("operator: version r9 acknowledged (the route goes to wuno96b)");
      }
      if (millis >= END_AT) {
        break;
      }
      // Judged are requests later than config_ms after the acknowledgement, when the store has been
      // well for stable_ms.
      boolean judged =
          millis > Math.max(CHANGE_AT + CONFIG_MILLIS, SILENT_AT + SILENT_MILLIS + STABLE_MILLIS)
              + PAUSE_MILLIS;
      Standins.Machine machine = machines.get(calls % machines.size());
      String id = "c" + calls++;
      clients.execute(
          () -> {
            String result = machine.call(id, REQUEST.replace("%ID%", id), 3_000);
            if (judged && result.startsWith("200")) {
              (result.contains("body=huvo11a") ? byOld : byNew).incrementAndGet();
            }
          });
      Thread.sleep(PAUSE_MILLIS);
    }
    Thread.sleep(1_500);
    clients.shutdownNow();
    record.line(
        "requests sent later than config_ms after the acknowledgement of r9: run by the old service "
            + byOld
            + ", by the new one "
            + byNew);
    return byOld.get() > 0;
  }
}
