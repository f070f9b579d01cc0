package org.amaranthmoor.testkit.deployment;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.amaranthmoor.caller.CallHeaders;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.platform.NotePublisher;
import org.amaranthmoor.platform.Verdict;
import org.amaranthmoor.testkit.caller.HttpCaller;
import org.amaranthmoor.testkit.target.TargetServer;
import org.amaranthmoor.testkit.target.TargetServer.Faults;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class DeploymentTests {

  private static final int NODES = 3;

  private Deployment deployment;

  @BeforeEach
  void startThreeNodes() throws IOException {
    deployment = new Deployment();
    for (int i = 1; i <= NODES; i++) {
      deployment.start("lending-" + i, 5);
    }
    assertInstanceOf(NotePublisher.Result.Decided.class, deployment.publish("open", note()));
    deployment.awaitAllServing();
  }

  @AfterEach
  void stopAll() {
    deployment.close();
  }

  private static String note() {
    StringBuilder text = new StringBuilder("format: 1\nnote: open\nservices:\n  - add: lending\n");
    text.append("rules:\n  - add: lending\n    service: lending\n    path-prefix: /lending\n");
    text.append("targets:\n");
    for (int i = 1; i <= NODES; i++) {
      text.append("  - add: lending-").append(i).append("\n    service: lending\n");
    }
    return text.append("end: open\n").toString();
  }

  private static ClassicRequestBuilder request(String method, String path, String id) {
    return ClassicRequestBuilder.create(method)
        .setPath(path)
        .addHeader(TargetServer.REQUEST_ID, id);
  }

  private HttpCaller.Response call(int node, ClassicRequestBuilder request) throws IOException {
    try (HttpCaller caller = deployment.caller(node)) {
      return caller.call(request);
    }
  }

  private int executions(String id) {
    int sum = 0;
    for (int i = 0; i < NODES; i++) {
      sum += deployment.target(i).executions(id);
    }
    return sum;
  }

  private void setAllFaults(Faults faults) {
    for (int i = 0; i < NODES; i++) {
      deployment.target(i).setFaults(faults);
    }
  }

  @Test
  void everyNodeServesACall() throws IOException {
    for (int i = 0; i < NODES; i++) {
      HttpCaller.Response response = call(i, request("GET", "/lending/pages", "id-" + i));

      assertEquals(200, response.status());
      assertTrue(response.text().startsWith("echo id-" + i + " "), response.text());
      assertEquals("answered", response.header(CallHeaders.OUTCOME));
    }
  }

  @Test
  void concurrentCallsEachGetTheirOwnResponse() throws Exception {
    List<Callable<Boolean>> calls = new ArrayList<>();
    for (int i = 0; i < 300; i++) {
      int number = i;
      calls.add(
          () -> {
            String id = "own-" + number;
            String path = number % 3 == 0 ? "/lending/large/150000" : "/lending/pages";
            HttpCaller.Response response = call(number % NODES, request("GET", path, id));
            return response.header(TargetServer.REQUEST_ID).equals(id)
                && (number % 3 != 0 || response.body().length == 150_000);
          });
    }
    try (ExecutorService executor = Executors.newFixedThreadPool(12)) {
      for (Future<Boolean> complete : executor.invokeAll(calls)) {
        assertTrue(complete.get(), "a response is truncated or belongs to another call");
      }
    }
  }

  @Test
  void aRequestWithoutARuleIsRefusedAsNotRun() throws IOException {
    HttpCaller.Response response = call(0, request("GET", "/nowhere", "x"));

    assertEquals(404, response.status());
    assertEquals("401", response.header(CallHeaders.CODE));
    assertEquals("not-run", response.header(CallHeaders.OUTCOME));
  }

  @Test
  void aKeyThatIsNoUuidOfVersionSevenIsRefused() throws IOException {
    HttpCaller.Response response =
        call(
            0,
            request("POST", "/lending/reservations", "x")
                .addHeader(CallHeaders.IDEMPOTENCY_KEY, "abc"));

    assertEquals(400, response.status());
    assertEquals(
        "not-run 402 BAD_HEADER: Idempotency-Key must be a UUID of version 7\n", response.text());
  }

  @Nested
  class Failures {

    @Test
    void aPostWhoseConnectionBreaksAfterTheRunIsUnknownAndNotRetried() throws IOException {
      setAllFaults(new Faults(1, false, false, true, false, 0, false));

      HttpCaller.Response response = call(0, request("POST", "/lending/reservations", "once"));

      assertEquals("unknown", response.header(CallHeaders.OUTCOME));
      assertEquals("203", response.header(CallHeaders.CODE));
      assertEquals(1, executions("once"));
    }

    @Test
    void aTruncatedResponseOfATargetIsReportedAsUnknown() throws IOException {
      setAllFaults(new Faults(1, false, false, false, true, 0, false));

      HttpCaller.Response response = call(0, request("POST", "/lending/reservations", "lie"));

      assertEquals("unknown", response.header(CallHeaders.OUTCOME));
      assertEquals(1, executions("lie"));
    }

    @Test
    void aRequestThatNoTargetAcceptsIsNotRunAndHasARetryAfter() throws IOException {
      for (int i = 0; i < NODES; i++) {
        deployment.target(i).close();
      }

      HttpCaller.Response response = call(0, request("POST", "/lending/reservations", "none"));

      assertEquals("not-run", response.header(CallHeaders.OUTCOME));
      assertEquals("103", response.header(CallHeaders.CODE));
      assertFalse(
          response.header(CallHeaders.RETRY_AFTER).isEmpty(), "the response has no Retry-After");
      assertEquals(0, executions("none"));
    }

    @Test
    void aRequestThatRanInAnEarlierAttemptIsNeverReportedAsNotRun() throws IOException {
      setAllFaults(new Faults(1, false, false, true, false, 0, false));
      deployment.target(1).close();
      deployment.target(2).close();

      for (int i = 0; i < 20; i++) {
        HttpCaller.Response response = call(0, request("PUT", "/lending/uploads/1", "put-" + i));
        boolean ran = executions("put-" + i) > 0;
        boolean reportedNotRun = response.header(CallHeaders.OUTCOME).equals("not-run");

        assertFalse(ran && reportedNotRun, "put-" + i + " ran, but was reported as not run");
      }
    }

    @Test
    void callsSucceedAfterANodeHasDied() throws IOException {
      deployment.node(1).daemon().halt();

      for (int i = 0; i < 20; i++) {
        assertEquals(200, call(0, request("GET", "/lending/pages", "dead-" + i)).status());
      }
    }

    @Test
    void aLargeResponseWhoseNodeDiesEndsBeforeItsStatedLength() throws IOException {
      long statedLength = 200_000_000;
      InetSocketAddress address = deployment.node(0).callerAddress();
      try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
        String request = "GET /lending/large/" + statedLength + " HTTP/1.1\r\nHost: x\r\n\r\n";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
        InputStream in = socket.getInputStream();
        String head = new String(in.readNBytes(10_000), StandardCharsets.ISO_8859_1);

        for (int i = 0; i < NODES; i++) {
          deployment.node(i).daemon().halt();
        }

        assertTrue(
            head.contains("Content-Length: " + statedLength),
            "the response has no Content-Length of " + statedLength);
        assertTrue(
            readToEnd(in) < statedLength, "the response was not cut off before its stated length");
      }
    }

    private static long readToEnd(InputStream in) {
      long total = 0;
      byte[] buffer = new byte[64 * 1024];
      try {
        int count = in.read(buffer);
        while (count >= 0) {
          total += count;
          count = in.read(buffer);
        }
      } catch (IOException e) {
        // A reset shows that the response is truncated as clearly as an early close does.
        return total;
      }
      return total;
    }

    @Test
    void callsAreServedWhileThePlatformIsDown() throws IOException {
      deployment.log().setDown(true);

      assertEquals(200, call(0, request("GET", "/lending/pages", "down")).status());
    }

    @Test
    void aNodeThatStartsWhileThePlatformIsDownGetsTheStateFromItsPeers() throws IOException {
      deployment.log().setDown(true);
      deployment.startNode("lending-4", deployment.target(0).port());

      Deployment.await(
          "a call through the new node succeeds",
          () -> {
            try {
              return call(NODES, request("GET", "/lending/pages", "new")).status() == 200;
            } catch (IOException e) {
              return false;
            }
          });
    }
  }

  @Nested
  class RetriesByTheCaller {

    private static final int OK = 200;

    /** A request with a key that was answered. */
    private record Keyed(String id, IdempotencyKey key, HttpCaller.Response response) {}

    // Each owner reports fresh keys as unknown until older leases have expired, at a time that
    // differs between owners, so the tests continue with the first request that is answered.
    private Keyed firstAnswered(String prefix) {
      List<Keyed> calls = new ArrayList<>();
      Deployment.await(
          "a request with a fresh key is answered",
          () -> {
            String id = prefix + "-" + calls.size();
            IdempotencyKey key = key();
            calls.add(new Keyed(id, key, post(0, id, key)));
            return calls.getLast().response().status() == OK;
          });
      return calls.getLast();
    }

    private IdempotencyKey key() {
      return IdempotencyKey.create(System.currentTimeMillis(), System.nanoTime(), 7);
    }

    private HttpCaller.Response post(int node, String id, IdempotencyKey key) {
      try {
        return call(
            node,
            request("POST", "/lending/reservations", id)
                .addHeader(CallHeaders.IDEMPOTENCY_KEY, key.toString()));
      } catch (IOException e) {
        throw new IllegalStateException("the call of request " + id + " failed", e);
      }
    }

    @Test
    void aRetryThroughAnotherNodeGetsTheFirstResponse() {
      Keyed first = firstAnswered("keyed");
      HttpCaller.Response second = post(1, first.id(), first.key());

      assertEquals(200, second.status());
      assertEquals(first.response().text(), second.text());
      assertEquals("true", second.header(CallHeaders.REPLAYED));
      assertEquals(1, executions(first.id()));
    }

    @Test
    void aRetryAfterTheKeyOwnerDiedNeverRunsAgain() {
      Keyed first = firstAnswered("died");
      int owner = 0;
      while (deployment.target(owner).executions(first.id()) == 0) {
        owner++;
      }
      deployment.node(owner).daemon().halt();
      int other = (owner + 1) % NODES;

      for (int i = 0; i < 5; i++) {
        post(other, first.id(), first.key());
      }

      assertEquals(1, executions(first.id()));
    }

    @Test
    void keyedRequestsAreServedWhileThePlatformIsDown() {
      firstAnswered("warm");
      deployment.log().setDown(true);
      long end = System.nanoTime() + 5_000_000_000L;
      int answered = 0;
      for (int i = 0; System.nanoTime() < end; i++) {
        answered += post(i % NODES, "down-" + i, key()).status() == OK ? 1 : 0;
      }
      Keyed last = firstAnswered("still-down");

      assertEquals(OK, last.response().status());
      assertTrue(answered > 0, "no keyed call was answered during the outage");
    }
  }

  @Nested
  class PlannedStop {

    /** Calls that a target ran and whose caller got no response. */
    private final ConcurrentLinkedQueue<String> cutOff = new ConcurrentLinkedQueue<>();

    /** A request body that blocks halfway until the test resumes it. */
    private static final class BlockedUpload extends InputStream {
      private static final int FIRST_BYTES = 200_000;
      private static final int ALL_BYTES = 400_000;
      private final CountDownLatch started = new CountDownLatch(1);
      private final CountDownLatch resume = new CountDownLatch(1);
      private int position;

      @Override
      public int read() throws IOException {
        if (position == FIRST_BYTES) {
          started.countDown();
          try {
            resume.await();
          } catch (InterruptedException e) {
            throw new IOException("interrupted", e);
          }
        }
        return position >= ALL_BYTES ? -1 : position++ & 0x7F;
      }

      @Override
      public int read(byte[] buffer, int offset, int length) throws IOException {
        int first = read();
        if (first < 0) {
          return -1;
        }
        buffer[offset] = (byte) first;
        return 1;
      }
    }

    @Test
    void anUploadThroughAStoppingNodeIsCompleted() throws Exception {
      BlockedUpload upload = new BlockedUpload();
      CompletableFuture<HttpCaller.Response> response =
          CompletableFuture.supplyAsync(() -> upload(upload));
      upload.started.await();
      Deployment.await("a target runs the upload", () -> inFlightNode() >= 0);
      int serving = inFlightNode();

      CompletableFuture<Boolean> entryStopped =
          CompletableFuture.supplyAsync(() -> deployment.stopNode(0));
      CompletableFuture<Boolean> targetStopped =
          serving == 0
              ? entryStopped
              : CompletableFuture.supplyAsync(() -> deployment.stopNode(serving));
      Thread.sleep(300);
      upload.resume.countDown();

      assertEquals(200, response.get().status());
      assertTrue(response.get().text().contains("length=400000 "), response.get().text());
      assertTrue(entryStopped.get(), "the entry side stopped before all requests had ended");
      assertTrue(targetStopped.get(), "the target side stopped before all requests had ended");
    }

    private int inFlightNode() {
      for (int i = 0; i < NODES; i++) {
        String name = deployment.node(i).settings().node().value();
        boolean busy =
            deployment.node(0).daemon().status().nodes().stream()
                .anyMatch(node -> node.node().equals(name) && node.inFlight() > 0);
        if (busy) {
          return i;
        }
      }
      return -1;
    }

    private HttpCaller.Response upload(BlockedUpload upload) {
      try (HttpCaller caller = deployment.caller(0)) {
        return caller.upload(
            request("PUT", "/lending/uploads/1", "upload").addHeader(CallHeaders.TIMEOUT, "60S"),
            upload,
            BlockedUpload.ALL_BYTES);
      } catch (IOException e) {
        throw new IllegalStateException("the upload failed", e);
      }
    }

    /** Calls that arrive all the time keep a stop from ending, and its limit cuts off the last. */
    @Test
    void noCallThatATargetRunsIsCutOffThoughCallersGoOn() throws Exception {
      setAllFaults(new Faults(20, false, false, false, false, 0, false));
      CompletableFuture<Boolean> stopped =
          CompletableFuture.supplyAsync(() -> deployment.stopNode(0));
      try (ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
        for (int caller = 0; caller < 4; caller++) {
          int number = caller;
          callers.execute(() -> callUntilStopped(stopped, "caller-" + number));
        }
      }

      assertTrue(stopped.join(), "requests were in progress at the end of the stop");
      assertEquals(List.of(), List.copyOf(cutOff));
    }

    private void callUntilStopped(CompletableFuture<Boolean> stopped, String caller) {
      for (int i = 0; !stopped.isDone(); i++) {
        String id = caller + "-" + i;
        try {
          call(0, request("POST", "/lending/posts", id));
        } catch (IOException e) {
          if (executions(id) > 0) {
            cutOff.add(id);
          }
        }
      }
    }

    @Test
    void aStoppingNodeGetsNoNewRequests() throws IOException {
      CompletableFuture<Boolean> stopped =
          CompletableFuture.supplyAsync(() -> deployment.stopNode(2));
      Deployment.await(
          "node 0 knows that the node is leaving",
          () ->
              deployment.node(0).daemon().status().nodes().stream()
                  .anyMatch(
                      node -> node.node().equals("lending-3-node") && node.state().equals("left")));
      long before = deployment.target(2).executed();
      for (int i = 0; i < 30; i++) {
        assertEquals(200, call(i % 2, request("GET", "/lending/pages", "l" + i)).status());
      }

      assertEquals(before, deployment.target(2).executed());
      assertTrue(stopped.join());
    }
  }

  @Nested
  class NotesOfOperators {

    private String change(String id, int deadline) {
      return "format: 1\nnote: "
          + id
          + "\nservices:\n  - change: lending\n    builds-on: open\n    deadline-millis: "
          + deadline
          + "\nend: "
          + id
          + "\n";
    }

    @Test
    void oneOfTwoConcurrentChangesIsAcceptedAndNamedInTheRefusal() throws Exception {
      NotePublisher.Result a;
      NotePublisher.Result b;
      try (ExecutorService executor = Executors.newFixedThreadPool(2)) {
        Future<NotePublisher.Result> first =
            executor.submit(() -> deployment.publish("a", change("a", 1_000)));
        Future<NotePublisher.Result> second =
            executor.submit(() -> deployment.publish("b", change("b", 2_000)));
        a = first.get();
        b = second.get();
      }
      Verdict va = assertInstanceOf(NotePublisher.Result.Decided.class, a).verdict();
      Verdict vb = assertInstanceOf(NotePublisher.Result.Decided.class, b).verdict();
      Verdict winner = va.offset() < vb.offset() ? va : vb;
      Verdict loser = winner.equals(va) ? vb : va;

      assertInstanceOf(Verdict.Accepted.class, winner);
      Verdict.Refused refused = assertInstanceOf(Verdict.Refused.class, loser);
      assertEquals(
          "builds on note open, but note " + winner.note() + " changed it first",
          refused.reasons().getFirst().message());
    }

    @Test
    void aLostResponseToTheAppendDoesNotDuplicateTheNote() {
      deployment.log().loseResponses(1);

      NotePublisher.Result published = deployment.publish("a", change("a", 1_000));

      assertInstanceOf(
          Verdict.Accepted.class,
          assertInstanceOf(NotePublisher.Result.Decided.class, published).verdict());
    }

    @Test
    void aNoteThatCannotBePublishedIsReportedAsNotPublished() {
      deployment.log().setDown(true);

      assertInstanceOf(
          NotePublisher.Result.NotPublished.class, deployment.publish("a", change("a", 1_000)));
    }
  }
}
