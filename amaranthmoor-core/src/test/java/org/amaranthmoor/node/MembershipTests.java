package org.amaranthmoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.ServedService;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.node.Member.Liveness;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class MembershipTests {

  private static final long STEP_NANOS = 100_000_000L;
  private static final int STEPS_PER_SECOND = 10;

  private final SplittableRandom random = new SplittableRandom(3);
  private final List<Membership> nodes = new ArrayList<>();
  private final Map<NodeName, Integer> index = new HashMap<>();
  private final Set<Integer> silentNodes = new HashSet<>();
  private long now;

  private static Member member(int number, String region) {
    return new Member(
        new NodeName("n" + number),
        new Incarnation(1),
        Liveness.ALIVE,
        "127.0.0.1",
        1,
        new ZoneName("z"),
        new RegionName(region),
        false,
        0);
  }

  private void start(int count) {
    for (int i = 0; i < count; i++) {
      nodes.add(new Membership(member(i, "r"), GossipTimings.standard(), random.split(), 0));
      index.put(new NodeName("n" + i), i);
    }
    for (Membership node : nodes) {
      for (int i = 0; i < count; i++) {
        node.learn(member(i, "r"));
      }
    }
  }

  private void run(int seconds) {
    for (int i = 0; i < seconds * STEPS_PER_SECOND; i++) {
      now += STEP_NANOS;
      for (int n = 0; n < nodes.size(); n++) {
        if (!silentNodes.contains(n)) {
          deliver(nodes.get(n).tick(now));
        }
      }
    }
  }

  private void deliver(List<Membership.Outgoing> messages) {
    for (Membership.Outgoing message : messages) {
      Integer to = index.get(message.to());
      if (to != null && !silentNodes.contains(to)) {
        deliver(nodes.get(to).receive(message.message(), now));
      }
    }
  }

  private Liveness livenessAt(int observer, int subject) {
    return nodes.get(observer).member(new NodeName("n" + subject)).orElseThrow().liveness();
  }

  private void assertAllSee(int subject, Liveness liveness) {
    for (int i = 0; i < nodes.size(); i++) {
      if (i != subject && !silentNodes.contains(i)) {
        assertEquals(liveness, livenessAt(i, subject), "seen by n" + i);
      }
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {2, 15, 100})
  void nobodyIsSuspectedWhileAllAnswer(int count) {
    start(count);

    run(30);

    for (int i = 0; i < count; i++) {
      assertAllSee(i, Liveness.ALIVE);
    }
  }

  @ParameterizedTest
  @ValueSource(ints = {15, 100, 400})
  void aLeaveIsKnownEverywhereWithinTenSeconds(int count) {
    start(count);
    run(5);

    nodes.getFirst().leave();
    run(10);

    assertAllSee(0, Liveness.LEFT);
  }

  @ParameterizedTest
  @ValueSource(ints = {15, 100})
  void aSilentNodeIsEventuallyDeadEverywhere(int count) {
    start(count);
    run(5);

    silentNodes.add(0);
    run(30);

    assertAllSee(0, Liveness.DEAD);
  }

  @Test
  void aPausedNodeThatResumesRefutesItsDeath() {
    start(15);
    run(5);
    silentNodes.add(0);
    run(30);

    silentNodes.remove(0);
    run(60);

    assertAllSee(0, Liveness.ALIVE);
  }

  @Test
  void aNewIncarnationReplacesADeadOne() {
    start(15);
    silentNodes.add(0);
    run(30);
    silentNodes.remove(0);

    nodes.getFirst().setIncarnation(new Incarnation(2));
    run(30);

    assertAllSee(0, Liveness.ALIVE);
    assertEquals(
        new Incarnation(2), nodes.get(1).member(new NodeName("n0")).orElseThrow().incarnation());
  }

  @Nested
  class MembersOfOtherRegions {

    @Test
    void areIgnored() {
      start(3);

      nodes.getFirst().learn(member(9, "elsewhere"));

      assertTrue(nodes.getFirst().member(new NodeName("n9")).isEmpty());
    }
  }

  @Nested
  class AfterARestart {

    private final Membership node =
        new Membership(member(0, "r"), GossipTimings.standard(), new SplittableRandom(5), 0);
    private final Membership peer =
        new Membership(member(1, "r"), GossipTimings.standard(), new SplittableRandom(6), 0);

    private void deliver(Membership to, Membership.Outgoing message) {
      for (Membership.Outgoing answer : to.receive(message.message(), 0)) {
        (to == peer ? node : peer).receive(answer.message(), 0);
      }
    }

    @Test
    void aNodeLearnsThatOthersHaveSeenAGreaterIncarnationOfIt() {
      Member earlier = member(0, "r");
      peer.learn(
          new Member(
              earlier.node(),
              new Incarnation(9),
              Liveness.ALIVE,
              earlier.host(),
              earlier.port(),
              earlier.zone(),
              earlier.region(),
              false,
              0));

      deliver(peer, node.syncRequest("127.0.0.1", 1));

      assertEquals(Optional.of(new Incarnation(9)), node.supersedingIncarnation());
      node.setIncarnation(new Incarnation(10));
      assertEquals(Optional.empty(), node.supersedingIncarnation());
    }

    @Test
    void aMemberDeclaredDeadIsNotifiedAndRefutesIt() {
      node.learn(member(1, "r"));
      peer.learn(member(0, "r"));
      long at = 0;
      while (node.member(new NodeName("n1")).orElseThrow().reachable()) {
        at += STEP_NANOS;
        node.tick(at);
      }

      for (int step = 0; step < 20; step++) {
        at += STEP_NANOS;
        node.tick(at).forEach(message -> deliver(peer, message));
      }

      assertTrue(node.member(new NodeName("n1")).orElseThrow().reachable());
    }

    @Test
    void aChangeOfTheServedServiceReachesTheMembersItIsSentTo() {
      node.learn(member(1, "r"));
      ServedService servedService = new ServedService(new ServiceName("lending"), 6);

      node.setServedService(Optional.of(servedService), false);
      node.announcements().forEach(message -> deliver(peer, message));

      assertEquals(
          Optional.of(servedService),
          peer.member(new NodeName("n0")).flatMap(Member::servedService));
    }
  }

  /** After a mass restart a zone learns only from announcements which targets are open. */
  @Nested
  class Announcements {

    private Membership withMembers(int sameZone, int otherZones) {
      Membership node = new Membership(member(0, "r"), GossipTimings.standard(), random.split(), 0);
      for (int i = 1; i <= sameZone; i++) {
        node.learn(member(i, "r"));
      }
      for (int i = 1; i <= otherZones; i++) {
        node.learn(inZone("far", sameZone + i));
      }
      return node;
    }

    private static Member inZone(String zone, int number) {
      return new Member(
          new NodeName("n" + number),
          new Incarnation(1),
          Liveness.ALIVE,
          "127.0.0.1",
          1,
          new ZoneName(zone),
          new RegionName("r"),
          false,
          0);
    }

    private static long countInSameZone(List<Membership.Outgoing> messages, int sameZone) {
      return messages.stream()
          .filter(message -> Integer.parseInt(message.to().value().substring(1)) <= sameZone)
          .count();
    }

    @ParameterizedTest
    @CsvSource({"18, 76, 18, 16", "4, 8, 4, 8", "60, 30, 40, 16", "0, 5, 0, 5", "3, 0, 3, 0"})
    void reachTheOwnZoneAndSomeOtherMembers(
        int sameZone, int otherZones, int expectedSameZone, int expectedOtherZones) {
      List<Membership.Outgoing> messages = withMembers(sameZone, otherZones).announcements();

      assertEquals(expectedSameZone, countInSameZone(messages, sameZone));
      assertEquals(expectedOtherZones, messages.size() - countInSameZone(messages, sameZone));
    }

    @Test
    void configAnnouncementsStayInTheOwnZone() {
      List<Membership.Outgoing> messages =
          withMembers(18, 76).configAnnouncements(Optional.of(Duration.ZERO));

      assertEquals(18, messages.size());
      assertEquals(18, countInSameZone(messages, 18));
      assertTrue(messages.stream().allMatch(message -> message.message().getReadsSource()));
    }

    /** A zone whose own reads were lost had a version only by chance pings, seconds later. */
    @Test
    void configAnnouncementsReachTheReadersOfOtherZones() {
      Membership membership = withMembers(4, 8);
      ConfigReaders readers = ConfigReaders.among(membership.self().zone(), membership.members());

      List<Membership.Outgoing> messages = membership.configAnnouncementsTo(readers.inOtherZones());

      assertEquals(ConfigReadPolicy.READERS_PER_ZONE, messages.size());
      assertEquals(0, countInSameZone(messages, 4));
    }

    @Test
    void allMembersAgreeOnTheOrderOfTheReaders() {
      Membership membership = withMembers(4, 8);
      ConfigReaders here = ConfigReaders.among(membership.self().zone(), membership.members());
      ConfigReaders there =
          ConfigReaders.among(new ZoneName("elsewhere"), membership.members().reversed());

      assertEquals(here.inOrder(), there.inOrder());
    }
  }

  @Nested
  class Precedence {

    @Test
    void aGreaterIncarnationOverridesAnyLiveness() {
      Member left = member(1, "r").withLiveness(Liveness.LEFT);
      Member restarted =
          new Member(
              left.node(),
              new Incarnation(2),
              Liveness.ALIVE,
              left.host(),
              left.port(),
              left.zone(),
              left.region(),
              false,
              0);

      assertTrue(restarted.overrides(left));
    }

    @Test
    void forEqualVersionsTheWorseLivenessWins() {
      Member alive = member(1, "r");
      Member suspect = alive.withLiveness(Liveness.SUSPECT);

      assertTrue(suspect.overrides(alive));
      assertTrue(alive.withLiveness(Liveness.DEAD).overrides(suspect));
      assertTrue(alive.withLiveness(Liveness.LEFT).overrides(suspect));
    }
  }
}
