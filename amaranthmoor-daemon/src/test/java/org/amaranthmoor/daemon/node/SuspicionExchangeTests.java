package org.amaranthmoor.daemon.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.RequestFingerprint;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.node.GossipTimings;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.protocol.node.Gossip;
import org.amaranthmoor.protocol.node.RequestSuspicion;
import org.amaranthmoor.target.CrashLedger;
import org.amaranthmoor.target.SuspectRequest;
import org.amaranthmoor.target.Suspicion;
import org.junit.jupiter.api.Test;

/**
 * Guards against a node that does not learn of a crash: its message was lost, the node started
 * later or was cut off, or a node of an earlier build is in between. Messages are delivered by the
 * test, in simulated time.
 */
class SuspicionExchangeTests {

  private static final int NODES = 12;
  private static final long MILLI = 1_000_000L;
  private static final RequestFingerprint REQUEST =
      RequestFingerprint.of("GET", "/p/1", "front", new byte[0]);

  private final ManualTime time = new ManualTime();
  private final List<Node> nodes = new ArrayList<>();
  private final Map<String, Node> byHost = new HashMap<>();
  private final SplittableRandom random = new SplittableRandom(37);

  /** A clock that the test sets. */
  private static final class ManualTime implements TimeSource {
    private long nanos;

    @Override
    public long nanos() {
      return nanos;
    }

    @Override
    public long wallMillis() {
      return nanos / MILLI;
    }
  }

  private final class Node {
    private final CrashLedger ledger = new CrashLedger();
    private final Membership membership;
    private final SuspicionExchange exchange;
    private final boolean earlierBuild;

    Node(int index, boolean earlierBuild) {
      this.membership =
          new Membership(member(index), GossipTimings.standard(), random.split(), time.nanos());
      this.exchange =
          new SuspicionExchange(
              ledger, membership, time, new EventLog(System.getLogger("test"), time));
      this.earlierBuild = earlierBuild;
    }

    List<Membership.Outgoing> receive(Gossip message) {
      List<Membership.Outgoing> replies =
          new ArrayList<>(membership.receive(message, time.nanos()));
      if (!earlierBuild) {
        replies.addAll(exchange.receive(message));
      }
      return replies;
    }

    // An earlier build neither knows the fields nor sends them.
    Gossip asSent(Gossip message) {
      return earlierBuild
          ? message.toBuilder().clearSuspicionsHash().clearSuspicions().build()
          : message;
    }

    int crashes() {
      return ledger.suspicion("/p/1", () -> REQUEST, time.nanos()).crashes();
    }
  }

  private record InTransit(Node from, Membership.Outgoing message) {}

  private static Member member(int index) {
    return new Member(
        new NodeName("n" + index),
        new Incarnation(1),
        Member.Liveness.ALIVE,
        "127.0.0." + (index + 1),
        7000,
        new ZoneName("z" + index % 3),
        new RegionName("r"),
        false,
        0);
  }

  private void start(int count, Predicate<Integer> earlierBuild) {
    for (int i = 0; i < count; i++) {
      add(new Node(i, earlierBuild.test(i)), i);
    }
  }

  private void add(Node node, int index) {
    for (int i = 0; i < nodes.size(); i++) {
      node.membership.learn(member(i));
      nodes.get(i).membership.learn(member(index));
    }
    nodes.add(node);
    byHost.put(node.membership.self().host(), node);
  }

  private void deliver(Node from, List<Membership.Outgoing> messages, Predicate<Node> reaches) {
    Queue<InTransit> queue = new ArrayDeque<>();
    messages.forEach(message -> queue.add(new InTransit(from, message)));
    while (!queue.isEmpty()) {
      InTransit next = queue.remove();
      Node to = byHost.get(next.message().host());
      if (reaches.test(to) && reaches.test(next.from())) {
        Gossip sent = next.from().asSent(next.message().message());
        to.receive(sent).forEach(reply -> queue.add(new InTransit(to, reply)));
      }
    }
  }

  private void run(long millis, Predicate<Node> reaches) {
    for (long end = time.nanos + millis * MILLI; time.nanos < end; time.nanos += 100 * MILLI) {
      for (Node node : nodes) {
        node.exchange.refresh();
        deliver(node, node.membership.tick(time.nanos), reaches);
      }
    }
  }

  private void crashAt(Node node, Predicate<Node> reaches) {
    Suspicion atHandOver = node.ledger.suspicion("/p/1", () -> REQUEST, time.nanos());
    SuspectRequest suspect = node.ledger.onCrash(REQUEST, atHandOver, time.nanos());
    deliver(node, node.exchange.announcements(List.of(suspect)), reaches);
  }

  @Test
  void allMembersLearnOfACrashAtOnce() {
    start(NODES, index -> false);

    crashAt(nodes.getFirst(), node -> true);

    assertTrue(nodes.stream().allMatch(node -> node.crashes() == 1));
  }

  @Test
  void aNodeThatWasCutOffLearnsOfItWithinThreeSeconds() {
    start(NODES, index -> false);
    Node cutOff = nodes.get(5);
    crashAt(nodes.getFirst(), node -> node != cutOff);
    assertEquals(0, cutOff.crashes());

    run(3_000, node -> true);

    assertEquals(1, cutOff.crashes());
  }

  @Test
  void aNodeThatStartsLaterLearnsOfItWithItsFirstSync() {
    start(NODES - 1, index -> false);
    crashAt(nodes.getFirst(), node -> true);
    Node late = new Node(NODES - 1, false);
    add(late, NODES - 1);

    deliver(late, late.membership.initialSyncRequests(), node -> true);

    assertEquals(1, late.crashes());
  }

  @Test
  void nodesOfAnEarlierBuildInBetweenDoNotKeepItFromOthers() {
    start(NODES, index -> index % 2 == 1);
    Node cutOff = nodes.get(6);
    crashAt(nodes.getFirst(), node -> node != cutOff);

    run(6_000, node -> true);

    assertEquals(1, cutOff.crashes());
  }

  @Test
  void aSuspicionWithInvalidNumbersIsSkipped() {
    start(1, index -> false);
    Gossip message =
        Gossip.newBuilder()
            .setKind(Gossip.Kind.ACK)
            .setSender("n7")
            .setSuspicionsHash(1)
            .addSuspicions(suspicion(-1, 0))
            .addSuspicions(suspicion(3, -1))
            .addSuspicions(suspicion(3, Long.MAX_VALUE))
            .build();

    nodes.getFirst().receive(message);

    assertEquals(0, nodes.getFirst().crashes());
  }

  private static RequestSuspicion suspicion(int crashes, long ageMillis) {
    return RequestSuspicion.newBuilder()
        .setFingerprintHigh(REQUEST.high())
        .setFingerprintLow(REQUEST.low())
        .setCrashes(crashes)
        .setAgeMillis(ageMillis)
        .build();
  }

  @Test
  void nodesThatAgreeSendNoSuspicions() {
    start(NODES, index -> false);
    crashAt(nodes.getFirst(), node -> true);
    List<Membership.Outgoing> sent = new ArrayList<>();
    for (Node node : nodes) {
      node.exchange.refresh();
      sent.addAll(node.membership.initialSyncRequests());
    }

    List<Membership.Outgoing> replies =
        sent.stream()
            .flatMap(
                message -> byHost.get(message.host()).exchange.receive(message.message()).stream())
            .toList();

    assertEquals(List.of(), replies);
  }

  @Test
  void aRequestCarriesTheSuspicionToItsTargetSide() {
    start(2, index -> false);
    SuspectRequest suspect = new SuspectRequest(REQUEST, new Suspicion(0, 2), 0);

    nodes.get(1).exchange.receive(SuspicionExchange.toMessage(suspect), "n0");

    assertEquals(2, nodes.get(1).crashes());
  }
}
