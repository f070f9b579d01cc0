package org.amaranthmoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.amaranthmoor.model.NodeName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

class ConfigReadPolicyTests {

  private static final long NANOS_PER_MILLI = 1_000_000L;
  private static final long NANOS_PER_SECOND = 1_000 * NANOS_PER_MILLI;

  private static NodeName node(int number) {
    return new NodeName("n" + number);
  }

  private static List<NodeName> zone(int count) {
    return IntStream.range(0, count).mapToObj(ConfigReadPolicyTests::node).toList();
  }

  // Returns the policy of a node of the zone that is not a designated reader.
  private static ConfigReadPolicy nonReader() {
    for (NodeName node : zone(20)) {
      ConfigReadPolicy policy = new ConfigReadPolicy(node);
      policy.onZoneMembers(zone(20));
      policy.onReaderHeartbeat(0);
      if (!policy.shouldRead(false, 0)) {
        return policy;
      }
    }
    throw new AssertionError("every node of the zone is a designated reader");
  }

  @ParameterizedTest
  @CsvSource({"1, 1", "2, 2", "3, 3", "5, 3", "20, 3", "485, 3"})
  void allMembersOfAZoneAgreeOnAFewReaders(int members, int readers) {
    int reading = 0;
    for (NodeName node : zone(members)) {
      ConfigReadPolicy policy = new ConfigReadPolicy(node);
      policy.onZoneMembers(zone(members));
      policy.onReaderHeartbeat(0);
      reading += policy.shouldRead(false, 0) ? 1 : 0;
    }
    assertEquals(readers, reading);
  }

  @Test
  void aNodeThatKnowsNobodyReads() {
    assertTrue(new ConfigReadPolicy(node(1)).shouldRead(false, 0));
  }

  @Nested
  class WhenANodeIsNotADesignatedReader {

    private final ConfigReadPolicy policy = nonReader();

    @Test
    void itReadsAfterTheHeartbeatTimeout() {
      assertFalse(policy.shouldRead(false, ConfigReadPolicy.HEARTBEAT_TIMEOUT_NANOS));
      assertTrue(policy.shouldRead(false, ConfigReadPolicy.HEARTBEAT_TIMEOUT_NANOS + 1));
    }

    @Test
    void itStopsReadingOnTheNextHeartbeat() {
      policy.onReaderHeartbeat(10 * NANOS_PER_SECOND);

      assertFalse(policy.shouldRead(false, 10 * NANOS_PER_SECOND));
    }

    @Test
    void itReadsAfterAPeerFailsToDeliverAVersion() {
      policy.onPeerFetchFailure();

      assertTrue(policy.shouldRead(false, 0));
    }

    @Test
    void itSendsNoHeartbeatThoughTheSourceAnswers() {
      assertFalse(policy.claimHeartbeat(true, true, 0));
    }

    @Test
    void itBecomesADesignatedReaderIfTheOthersAreGone() {
      NodeName self =
          IntStream.range(0, 20).mapToObj(ConfigReadPolicyTests::node).toList().getLast();
      ConfigReadPolicy last = new ConfigReadPolicy(self);
      last.onZoneMembers(List.of(self));
      last.onReaderHeartbeat(0);

      assertTrue(last.shouldRead(false, 0));
    }
  }

  @Nested
  class WhenANodeIsADesignatedReader {

    private final ConfigReadPolicy policy = new ConfigReadPolicy(node(1));

    @Test
    void itSendsHeartbeatsPeriodicallyAndOnEachNewVersion() {
      assertTrue(policy.claimHeartbeat(true, false, 0));
      assertFalse(policy.claimHeartbeat(true, false, 100 * NANOS_PER_MILLI));
      assertTrue(policy.claimHeartbeat(true, true, 100 * NANOS_PER_MILLI));
      assertTrue(
          policy.claimHeartbeat(
              true, false, 100 * NANOS_PER_MILLI + ConfigReadPolicy.HEARTBEAT_INTERVAL_NANOS));
    }

    @Test
    void itSendsNoHeartbeatWhileTheSourceDoesNotAnswer() {
      assertFalse(policy.claimHeartbeat(false, true, 0));
    }
  }

  @Nested
  class WhenTheSourceDoesNotAnswer {

    // Returns the time of the next read.
    private static long nextRead(ConfigReadPolicy policy, boolean neverRead, long fromNanos) {
      long now = fromNanos;
      while (!policy.shouldRead(neverRead, now)) {
        now += NANOS_PER_MILLI;
      }
      return now;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 20})
    void backoffGrowsUpToABound(int failures) {
      ConfigReadPolicy policy = new ConfigReadPolicy(node(1));
      long backoff = 0;
      for (int i = 1; i <= failures; i++) {
        long now = 10L * i * NANOS_PER_SECOND;
        policy.onReadFailure(1, now);
        long next = nextRead(policy, false, now) - now;
        assertTrue(next >= backoff, "the backoff does not shrink");
        backoff = next;
      }
      assertTrue(
          backoff >= 300 * NANOS_PER_MILLI && backoff <= 1_200 * NANOS_PER_MILLI,
          "backoff " + backoff);
    }

    @Test
    void aReaderThatIsCutOffRetriesRarelyWhileAnotherReachesTheSource() {
      ConfigReadPolicy policy = new ConfigReadPolicy(node(1));
      policy.onReadFailure(0, 0);
      for (long at = 100 * NANOS_PER_MILLI;
          at <= 2 * NANOS_PER_SECOND;
          at += ConfigReadPolicy.HEARTBEAT_INTERVAL_NANOS) {
        policy.onReaderHeartbeat(at);
        policy.onReaderAnswered(at);
        assertFalse(policy.shouldRead(false, at));
      }
    }

    /** A reader whose response was lost sends heartbeats, but it states an earlier answer. */
    @Test
    void aReaderRetriesSoonIfTheSourceHasAnsweredNoOtherReaderSince() {
      ConfigReadPolicy policy = new ConfigReadPolicy(node(1));
      policy.onReadFailure(1, 100 * NANOS_PER_MILLI);
      policy.onReaderHeartbeat(200 * NANOS_PER_MILLI);
      policy.onReaderAnswered(50 * NANOS_PER_MILLI);

      assertTrue(nextRead(policy, false, 200 * NANOS_PER_MILLI) <= 600 * NANOS_PER_MILLI);
    }

    /**
     * The source resets all connections at once, just after each reader has received a heartbeat of
     * the others. A backoff that relies on such heartbeats would delay every reader.
     */
    @Test
    void readersRetrySoonIfAllLoseTheSourceAtOnce() {
      ConfigReadPolicy policy = new ConfigReadPolicy(node(1));
      policy.onReaderHeartbeat(0);
      policy.onReadFailure(1, 100 * NANOS_PER_MILLI);

      assertTrue(nextRead(policy, false, 100 * NANOS_PER_MILLI) <= 600 * NANOS_PER_MILLI);
    }

    @Test
    void aReaderRetriesSoonOnceTheOtherReadersAreSilent() {
      ConfigReadPolicy policy = new ConfigReadPolicy(node(1));
      policy.onReadFailure(1, 0);
      policy.onReaderHeartbeat(200 * NANOS_PER_MILLI);

      assertTrue(
          nextRead(policy, false, 200 * NANOS_PER_MILLI)
              <= 200 * NANOS_PER_MILLI
                  + ConfigReadPolicy.HEARTBEAT_TIMEOUT_NANOS
                  + NANOS_PER_MILLI);
    }

    @Test
    void aNodeThatHasNeverReadBacksOffToo() {
      ConfigReadPolicy policy = new ConfigReadPolicy(node(1));
      policy.onReadFailure(0, 0);

      assertFalse(policy.shouldRead(true, 200 * NANOS_PER_MILLI));
      assertTrue(policy.shouldRead(true, 300 * NANOS_PER_MILLI));
    }

    @Test
    void aSuccessfulReadEndsTheBackoff() {
      ConfigReadPolicy policy = new ConfigReadPolicy(node(1));
      policy.onReadFailure(1, 0);
      policy.onReadSuccess();

      assertTrue(policy.shouldRead(false, 1));
    }
  }

  /**
   * Simulates many nodes of one zone while versions follow each other quickly. Nodes are killed,
   * cut off from the source, or believed alive while they are down; the source is unavailable to
   * all at times; one heartbeat in ten is lost.
   */
  @Nested
  class OverManyNodes {

    private static final int NODES = 40;
    private static final long STEP_NANOS = 50 * NANOS_PER_MILLI;

    /** Time within which a connected node must have a version; a usual bound of operators. */
    private static final long MAX_DELAY_NANOS = 2 * NANOS_PER_SECOND;

    private static final class Node {
      private final NodeName name;
      private final ConfigReadPolicy policy;
      private long version;
      private boolean down;
      private boolean cutOff;
      private boolean available;
      private long connectedSinceNanos;

      private Node(NodeName name) {
        this.name = name;
        this.policy = new ConfigReadPolicy(name);
      }
    }

    private final List<Node> nodes = zone(NODES).stream().map(Node::new).toList();
    private long reads;
    private long sourceAvailableNanos;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void eachVersionReachesEachNodeInTime(long seed) {
      Random random = new Random(seed);
      List<Long> publishedNanos = new ArrayList<>(List.of(0L));
      nodes.forEach(node -> node.policy.onZoneMembers(zone(NODES)));
      for (long now = STEP_NANOS; now < 60 * NANOS_PER_SECOND; now += STEP_NANOS) {
        if (random.nextInt(8) == 0) {
          publishedNanos.add(now);
        }
        injectFault(random, now);
        for (Node node : nodes) {
          step(node, publishedNanos.size() - 1, now, random);
        }
        check(publishedNanos, now);
      }
      assertTrue(reads < publishedNanos.size() * (long) NODES / 3, "reads of the source: " + reads);
    }

    private void injectFault(Random random, long now) {
      if (random.nextInt(100) == 0) {
        sourceAvailableNanos = now + random.nextLong(2 * NANOS_PER_SECOND);
      }
      if (random.nextInt(20) != 0) {
        return;
      }
      Node node = nodes.get(random.nextInt(NODES));
      boolean kill = random.nextBoolean();
      node.down = kill ? !node.down : node.down;
      node.cutOff = kill ? node.cutOff : !node.cutOff;
      node.connectedSinceNanos = now;
      // The views of the members are updated only in some of the steps.
      if (random.nextBoolean()) {
        List<NodeName> alive = nodes.stream().filter(n -> !n.down).map(n -> n.name).toList();
        nodes.forEach(n -> n.policy.onZoneMembers(alive));
      }
    }

    private void step(Node node, long published, long now, Random random) {
      if (node.down) {
        node.available = false;
        return;
      }
      boolean newVersion = false;
      if (node.policy.shouldRead(false, now)) {
        if (node.cutOff || now < sourceAvailableNanos) {
          node.available = false;
          node.policy.onReadFailure(random.nextDouble(), now);
        } else {
          node.available = true;
          node.policy.onReadSuccess();
          newVersion = node.version < published;
          reads += newVersion ? 1 : 0;
          node.version = published;
        }
      }
      if (node.policy.claimHeartbeat(node.available, newVersion, now)) {
        Set<Node> receivers = new HashSet<>(nodes);
        receivers.removeIf(other -> other == node || other.down || random.nextInt(10) == 0);
        receivers.forEach(other -> other.policy.onReaderHeartbeat(now));
        receivers.forEach(other -> other.version = Math.max(other.version, node.version));
      }
    }

    private void check(List<Long> publishedNanos, long now) {
      for (Node node : nodes) {
        boolean connected =
            !node.down && !node.cutOff && now - node.connectedSinceNanos > MAX_DELAY_NANOS;
        if (connected && node.version + 1 < publishedNanos.size()) {
          long readableNanos =
              Math.max(sourceAvailableNanos, publishedNanos.get((int) node.version + 1));
          long delayNanos = now - readableNanos;
          assertTrue(
              delayNanos <= MAX_DELAY_NANOS,
              node.name + " lacks a version after nanoseconds: " + delayNanos);
        }
      }
    }
  }
}
