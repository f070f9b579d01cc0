package review;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** Servers send bytes without end in a few bodies; each request must end at its route's timeout. */
final class EndlessAnswer {

  private static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));
  private static final int PAGE_BYTES = 5_000;
  private static final int TIMEOUT_MILLIS = 2_000;
  private static final int DEADLINE_MILLIS = 3_000;
  private static final int HELD_MILLIS = 500;
  private static final int LEAST_COUNT = 8;
  private static final int CLIENTS_PER_MACHINE = 4;
  private static final int PAUSE_MILLIS = 25;
  private static final int WORK_MILLIS = 20;
  private static final long BEFORE_MILLIS = 3_000;
  private static final long TROUBLE_MILLIS = 5_500;
  private static final long AFTER_MILLIS = 5_000;

  /** The servers spoil one answer in 20. */
  private static final int SPOIL_EACH = 20;

  private static volatile boolean spoiling;
  private static final AtomicInteger ran = new AtomicInteger();
  private static final AtomicInteger spoilt = new AtomicInteger();
  private static final AtomicInteger sent = new AtomicInteger();
  private static final AtomicInteger served = new AtomicInteger();
  private static final AtomicInteger overTimeout = new AtomicInteger();
  private static final AtomicInteger unanswered = new AtomicInteger();

  private EndlessAnswer() {}

  public static void main(String[] arguments) throws Exception {
    Journal journal = new Journal(Path.of(arguments[0], "record.txt"));
    List<String> services = List.of("print-workshop", "print-workshop", "print-workshop");
    try (Mesh mesh = new Mesh(journal, services, List.of(0, 1, 2))) {
      mesh.start(
          Mesh.config(
              7,
              List.of("print-workshop"),
              List.of(Mesh.route("pages", "/pages/", "safe", "print-workshop", TIMEOUT_MILLIS))),
          (server, head, in, connection) -> answer(journal, server, head, connection),
          0);
      List<Thread> clients = new ArrayList<>();
      long endMillis = journal.millis() + BEFORE_MILLIS + TROUBLE_MILLIS + AFTER_MILLIS;
      for (Machine machine : mesh.machines) {
        for (int i = 0; i < CLIENTS_PER_MACHINE; i++) {
          String prefix = machine.name() + "-" + i + "-";
          clients.add(
              Thread.startVirtualThread(() -> request(journal, machine, prefix, endMillis)));
        }
      }
      Thread.sleep(BEFORE_MILLIS);
      spoiling = TROUBLE;
      journal.write("trouble: " + (TROUBLE ? "two of three servers spoil 1 body in 20" : "none"));
      Thread.sleep(TROUBLE_MILLIS);
      spoiling = false;
      journal.write("trouble: ended");
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
            + ", spoilt by the server "
            + spoilt
            + ", without a final answer at the timeout "
            + overTimeout
            + ", still without one 0.5 s later "
            + unanswered;
    journal.write("result: " + result);
    System.out.println(result);
    if (served.get() < sent.get() / 2) {
      System.exit(2);
    }
    boolean broken = unanswered.get() >= LEAST_COUNT && 4 * unanswered.get() > overTimeout.get();
    System.exit(broken ? 1 : 0);
  }

  private static boolean answer(
      Journal journal, Server server, Http.Message head, Socket connection)
      throws IOException, InterruptedException {
    String id = head.header("X-Request-Id");
    boolean spoils =
        spoiling
            && !server.machine().name().equals("node-0")
            && ran.incrementAndGet() % SPOIL_EACH == 0;
    Thread.sleep(WORK_MILLIS);
    OutputStream out = connection.getOutputStream();
    if (!spoils) {
      out.write(Http.ascii(server.answerHead(head) + "Content-Length: " + PAGE_BYTES + "\r\n\r\n"));
      out.write(new byte[PAGE_BYTES]);
      out.flush();
      journal.write("run " + id + " at " + server.id());
      return true;
    }
    spoilt.incrementAndGet();
    journal.write("run " + id + " at " + server.id() + ": bytes without end");
    out.write(Http.ascii(server.answerHead(head) + "Connection: close\r\n\r\n"));
    try {
      while (true) {
        out.write(new byte[8_192]);
        out.flush();
        Thread.sleep(2);
      }
    } catch (IOException e) {
      journal.write("run " + id + ": the node has closed the connection");
    }
    return false;
  }

  private static void request(Journal journal, Machine machine, String prefix, long endMillis) {
    for (int i = 0; journal.millis() < endMillis; i++) {
      String id = prefix + i;
      long startMillis = journal.millis();
      try {
        Thread.sleep(PAUSE_MILLIS);
        startMillis = journal.millis();
        sent.incrementAndGet();
        String got = get(journal, machine, id, startMillis);
        long millis = journal.millis() - startMillis;
        journal.write("answer " + id + ": " + got + " after " + millis + " ms");
        served.addAndGet(got.equals("200, complete") ? 1 : 0);
        overTimeout.addAndGet(millis > TIMEOUT_MILLIS ? 1 : 0);
        unanswered.addAndGet(millis > TIMEOUT_MILLIS + HELD_MILLIS ? 1 : 0);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  // The client leaves at its deadline.
  private static String get(Journal journal, Machine machine, String id, long startMillis) {
    try (Socket socket = Client.connect(machine.outbound(), DEADLINE_MILLIS)) {
      socket
          .getOutputStream()
          .write(Http.ascii(Client.head("GET", "/pages/" + id, id, DEADLINE_MILLIS, "")));
      InputStream in = Http.buffered(socket.getInputStream());
      Http.Message head = Http.readHead(in);
      if (head == null) {
        return "closed without an answer";
      }
      if (!head.header("Content-Length").isEmpty()) {
        return head.status() + (Http.readBody(in, head, true).complete() ? ", complete" : ", cut");
      }
      byte[] buffer = new byte[32 * 1024];
      long bytes = 0;
      while (journal.millis() < startMillis + DEADLINE_MILLIS) {
        int count = in.read(buffer);
        if (count < 0) {
          return head.status() + ", ended after " + bytes + " bytes";
        }
        bytes += count;
      }
      return head.status() + ", not ended, " + bytes + " bytes so far";
    } catch (IOException e) {
      return "none: " + e.getMessage();
    }
  }
}
