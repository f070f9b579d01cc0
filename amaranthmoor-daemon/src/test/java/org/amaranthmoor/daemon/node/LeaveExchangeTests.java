package org.amaranthmoor.daemon.node;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.node.GossipTimings;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.protocol.node.Gossip;
import org.amaranthmoor.target.LeftRuns;
import org.amaranthmoor.target.TargetRun;
import org.junit.jupiter.api.Test;

/**
 * Guards against a leave that only the process knew which acknowledged it. Messages are delivered
 * by the test.
 */
class LeaveExchangeTests {

  private static final TargetRun FIRST = new TargetRun("run-1", 5);
  private static final TargetRun SECOND = new TargetRun("run-2", 9);

  private final Node keeper = new Node("keeper", 1);
  private final Node announcer = new Node("announcer", 1);

  LeaveExchangeTests() {
    introduce(keeper, announcer);
  }

  private static final class Node {
    private final Membership membership;
    private final List<TargetRun> learned = new ArrayList<>();
    private final LeaveExchange exchange;

    Node(String name, long incarnation) {
      this.membership =
          new Membership(
              new Member(
                  new NodeName(name),
                  new Incarnation(incarnation),
                  Member.Liveness.ALIVE,
                  "127.0.0.1",
                  1,
                  new ZoneName("z"),
                  new RegionName("r"),
                  false,
                  0),
              GossipTimings.standard(),
              new SplittableRandom(43),
              0);
      this.exchange = new LeaveExchange(membership, learned::addAll);
    }

    List<Membership.Outgoing> receive(Gossip message) {
      membership.receive(message, 0);
      return exchange.receive(message);
    }
  }

  private static void introduce(Node one, Node other) {
    deliver(one.membership.syncRequest("127.0.0.1", 1), other);
    deliver(other.membership.syncRequest("127.0.0.1", 1), one);
  }

  private static void deliver(Membership.Outgoing message, Node to) {
    to.receive(message.message());
  }

  private Node restartAnnouncer() {
    Node restarted = new Node("announcer", 2);
    List<Membership.Outgoing> replies =
        keeper.receive(restarted.membership.syncRequest("127.0.0.1", 1).message());
    replies.forEach(reply -> deliver(reply, restarted));
    return restarted;
  }

  @Test
  void aRestartedNodeLearnsItsLeavesFromTheFirstNodeThatItContacts() {
    announcer.exchange.announcements(List.of(FIRST, SECOND)).forEach(m -> deliver(m, keeper));

    assertEquals(List.of(FIRST, SECOND), restartAnnouncer().learned);
  }

  @Test
  void aLeaveWhoseAnnouncementWasLostIsKeptAfterTheNextIntroduction() {
    announcer.exchange.setOwnLeaves(List.of(FIRST));
    deliver(announcer.membership.syncRequest("127.0.0.1", 1), keeper);

    assertEquals(List.of(FIRST), restartAnnouncer().learned);
  }

  @Test
  void aNodeThatKnowsItsLeavesGetsNoReply() {
    announcer.exchange.announcements(List.of(FIRST)).forEach(m -> deliver(m, keeper));

    assertEquals(
        List.of(), keeper.receive(announcer.membership.syncRequest("127.0.0.1", 1).message()));
  }

  @Test
  void aLeaveOfAnotherNodeIsNotReturned() {
    Node third = new Node("third", 1);
    announcer.exchange.announcements(List.of(FIRST)).forEach(m -> deliver(m, keeper));

    assertEquals(List.of(), keeper.receive(third.membership.syncRequest("127.0.0.1", 1).message()));
  }

  @Test
  void onlyTheNewestLeavesOfANodeAreKept() {
    List<TargetRun> runs = new ArrayList<>();
    for (int i = 0; i < 3 * LeftRuns.MAX_RUNS; i++) {
      runs.add(new TargetRun("run-" + i, i));
      announcer.exchange.announcements(runs).forEach(m -> deliver(m, keeper));
    }

    assertEquals(
        runs.subList(runs.size() - LeftRuns.MAX_RUNS, runs.size()), restartAnnouncer().learned);
  }

  @Test
  void theNumberOfNodesWhoseLeavesAreKeptIsBounded() {
    announcer.exchange.announcements(List.of(FIRST)).forEach(m -> deliver(m, keeper));
    for (int i = 0; i < LeaveExchange.MAX_NODES; i++) {
      Node node = new Node("n" + i, 1);
      introduce(keeper, node);
      node.exchange.announcements(List.of(SECOND)).forEach(m -> deliver(m, keeper));
    }

    assertEquals(List.of(), restartAnnouncer().learned);
  }
}
