package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** A server leaves while the store is down, and its node is killed and starts again. */
final class ForgottenLeave {

  private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final int DEADLINE_MILLIS = 1_200;
  private static final int WORK_MILLIS = 20;
  private static final int CLIENTS_PER_MACHINE = 2;
  private static final int PAUSE_MILLIS = 40;
  private static final int DRAIN_MILLIS = 2_000;
  private static final int STABLE_MILLIS = 3_000;
  private static final int STORE_DOWN_MILLIS = 4_000;

  private static volatile long boundMillis = Long.MAX_VALUE;
  private static volatile Server leaving;
  private static final AtomicInteger sent = new AtomicInteger();
  private static final AtomicInteger served = new AtomicInteger();
  private static final AtomicInteger violations = new AtomicInteger();

  private ForgottenLeave() {}

  public static void main(String[] arguments) throws Exception {
    Journal journal = new Journal(Path.of(arguments[0], "record.txt"));
    List<String> services = List.of("lending-desk", "lending-desk", "lending-desk");
    try (Mesh mesh = new Mesh(journal, services, List.of(0, 1, 2))) {
      mesh.start(
          Mesh.config(
              7,
              List.of("lending-desk"),
              List.of(Mesh.route("pages", "/pages/", "safe", "lending-desk", DEADLINE_MILLIS))),
          (server, head, in, connection) -> answer(journal, server, head, connection),
          0);
      List<Thread> clients = new ArrayList<>();
      long endMillis = journal.millis() + 20_000;
      for (Machine machine : mesh.machines) {
        for (int i = 0; i < CLIENTS_PER_MACHINE; i++) {
          String prefix = machine.name() + "-" + i + "-";
          clients.add(
              Thread.startVirtualThread(() -> request(journal, machine, prefix, endMillis)));
        }
      }
      Thread.sleep(4_000);
      leave(journal, mesh);
      for (Thread client : clients) {
        client.join();
      }
    } catch (Exception e) {
      journal.write("cannot run: " + e);
      System.exit(2);
    }
    String result =
        "sent "
            + sent
            + ", served "
            + served
            + ", reached the server that had left, later than the bound "
            + violations;
    journal.write("result: " + result);
    System.out.println(result);
    if (served.get() < sent.get() / 2) {
      System.exit(2);
    }
    System.exit(violations.get() > 0 ? 1 : 0);
  }

  private static void leave(Journal journal, Mesh mesh) throws IOException, InterruptedException {
    Server server = mesh.servers.get(1);
    Machine machine = server.machine();
    long storeDownMillis = journal.millis();
    if (TROUBLE) {
      mesh.store.setDown(true);
      journal.write("trouble: the store is down");
    }
    Thread.sleep(300);
    String late = server.lateReport();
    journal.write("heartbeat of " + server.id() + " sent, ready; it arrives late");
    Thread.sleep(200);
    int status = server.deregister();
    long ackMillis = journal.millis();
    journal.write("deregister of " + server.id() + " answered " + status);
    if (status != 200) {
      throw new IOException("the leave was not acknowledged");
    }
    Thread.sleep(300);
    long startMillis = ackMillis;
    if (TROUBLE) {
      machine.signal("KILL");
      journal.write("trouble: the node of " + machine.name() + " is killed");
      Thread.sleep(500);
      machine.start();
      startMillis = journal.millis();
      journal.write("trouble: the node of " + machine.name() + " starts again");
      Thread.sleep(Math.max(0, storeDownMillis + STORE_DOWN_MILLIS - journal.millis()));
      mesh.store.setDown(false);
      journal.write("trouble: the store is back");
    } else {
      Thread.sleep(Math.max(0, storeDownMillis + STORE_DOWN_MILLIS - journal.millis()));
    }
    long calmMillis = Math.max(startMillis, TROUBLE ? journal.millis() : startMillis);
    // The node has read its record by then.
    Thread.sleep(1_200);
    journal.write("late heartbeat answered " + server.deliver(late));
    leaving = server;
    boundMillis = Math.max(ackMillis + DRAIN_MILLIS, calmMillis + STABLE_MILLIS);
    journal.write("bound: requests that are sent after " + boundMillis + " must not reach it");
  }

  private static boolean answer(
      Journal journal, Server server, Http.Message head, Socket connection)
      throws IOException, InterruptedException {
    String id = head.header("X-Request-Id");
    boolean late = server == leaving && journal.millis() > boundMillis + DEADLINE_MILLIS;
    if (late) {
      violations.incrementAndGet();
    }
    journal.write("run " + id + " at " + server.id() + (late ? ": DRAIN, it has left" : ""));
    Thread.sleep(WORK_MILLIS);
    OutputStream out = connection.getOutputStream();
    out.write(Http.ascii(server.answerHead(head) + "Content-Length: 2\r\n\r\nok"));
    out.flush();
    return true;
  }

  private static void request(Journal journal, Machine machine, String prefix, long endMillis) {
    for (int i = 0; journal.millis() < endMillis; i++) {
      String id = prefix + i;
      try {
        Thread.sleep(PAUSE_MILLIS);
        sent.incrementAndGet();
        Http.Message answer =
            Client.get(machine.outbound(), "/pages/" + id, id, DEADLINE_MILLIS, DEADLINE_MILLIS);
        served.addAndGet(answer != null && answer.status() == 200 ? 1 : 0);
        journal.write("answer " + id + ": " + (answer == null ? "closed" : answer.status()));
      } catch (IOException e) {
        journal.write("answer " + id + ": " + e);
      } catch (InterruptedException e) {
        return;
      }
    }
  }
}
