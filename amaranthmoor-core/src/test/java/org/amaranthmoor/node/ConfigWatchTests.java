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

class ConfigWatchTests {

  private static final long MILLI = 1_000_000L;
  private static final long SECOND = 1_000 * MILLI;

  private static NodeName node(int number) {
    return new NodeName("n" + number);
  }

  private static List<NodeName> zone(int count) {
    return IntStream.range(0, count).mapToObj(ConfigWatchTests::node).toList();
  }

  // A watch of a node of the zone that is no watcher.
  private static ConfigWatch follower() {
    for (NodeName node : zone(20)) {
      ConfigWatch watch = new ConfigWatch(node);
      watch.onZone(zone(20));
      watch.onSign(0);
      if (!watch.reads(false, 0)) {
        return watch;
      }
    }
    throw new AssertionError("every node of the zone is a watcher");
  }

  @ParameterizedTest
  @CsvSource({"1, 1", "2, 2", "3, 3", "5, 3", "20, 3", "485, 3"})
  void allMembersOfAZoneAgreeOnAFewWatchers(int members, int watchers) {
    int reading = 0;
    for (NodeName node : zone(members)) {
      ConfigWatch watch = new ConfigWatch(node);
      watch.onZone(zone(members));
      watch.onSign(0);
      reading += watch.reads(false, 0) ? 1 : 0;
    }
    assertEquals(watchers, reading);
  }

  @Test
  void aNodeThatKnowsNobodyReads() {
    assertTrue(new ConfigWatch(node(1)).reads(false, 0));
  }

  @Nested
  class WhenANodeIsNoWatcher {

    private final ConfigWatch watch = follower();

    @Test
    void itReadsOnceItHasHeardNoWatcherForAWhile() {
      assertFalse(watch.reads(false, ConfigWatch.LOST_NANOS));
      assertTrue(watch.reads(false, ConfigWatch.LOST_NANOS + 1));
    }

    @Test
    void itReadsNoMoreOnceAWatcherIsHeardAgain() {
      watch.onSign(10 * SECOND);

      assertFalse(watch.reads(false, 10 * SECOND));
    }

    @Test
    void itReadsIfAVersionIsNotPassedOn() {
      watch.onNotPassedOn();

      assertTrue(watch.reads(false, 0));
    }

    @Test
    void itDoesNotClaimToReadThoughTheSourceAnswersIt() {
      assertFalse(watch.tells(true, true, 0));
    }

    @Test
    void itBecomesAWatcherIfTheOthersAreGone() {
      NodeName self = IntStream.range(0, 20).mapToObj(ConfigWatchTests::node).toList().getLast();
      ConfigWatch last = new ConfigWatch(self);
      last.onZone(List.of(self));
      last.onSign(0);

      assertTrue(last.reads(false, 0));
    }
  }

  @Nested
  class WhenANodeIsAWatcher {

    private final ConfigWatch watch = new ConfigWatch(node(1));

    @Test
    void itTellsItsZoneNowAndThenAndOfEachNewVersionAtOnce() {
      assertTrue(watch.tells(true, false, 0));
      assertFalse(watch.tells(true, false, 100 * MILLI));
      assertTrue(watch.tells(true, true, 100 * MILLI));
      assertTrue(watch.tells(true, false, 100 * MILLI + ConfigWatch.SIGN_NANOS));
    }

    @Test
    void itSaysNothingWhileTheSourceDoesNotAnswerIt() {
      assertFalse(watch.tells(false, true, 0));
    }
  }

  @Nested
  class WhenTheSourceDoesNotAnswer {

    // Returns when the node reads again.
    private static long nextRead(ConfigWatch watch, boolean nothingYet, long fromNanos) {
      long now = fromNanos;
      while (!watch.reads(nothingYet, now)) {
        now += MILLI;
      }
      return now;
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 20})
    void pausesGrowButStayWithinASecondOrSo(int failures) {
      ConfigWatch watch = new ConfigWatch(node(1));
      long pause = 0;
      for (int i = 1; i <= failures; i++) {
        long now = 10L * i * SECOND;
        watch.onFailure(1, now);
        long next = nextRead(watch, false, now) - now;
        assertTrue(next >= pause, "pauses do not shrink");
        pause = next;
      }
      assertTrue(pause >= 300 * MILLI && pause <= 1_200 * MILLI, "pause " + pause);
    }

    @Test
    void aWatcherThatIsCutOffTriesRarelyWhileANeighbourReachesIt() {
      ConfigWatch watch = new ConfigWatch(node(1));
      watch.onFailure(0, 0);
      for (long at = 100 * MILLI; at <= 2 * SECOND; at += ConfigWatch.SIGN_NANOS) {
        watch.onSign(at);
        assertFalse(watch.reads(false, at));
      }
    }

    /** All lose the source together, just after each has heard that the others reach it. */
    @Test
    void nobodyWaitsForTheOthersIfAllLoseItAtOnce() {
      ConfigWatch watch = new ConfigWatch(node(1));
      watch.onSign(0);
      watch.onFailure(1, 100 * MILLI);

      assertTrue(nextRead(watch, false, 100 * MILLI) <= 600 * MILLI);
    }

    @Test
    void aWatcherTriesAgainSoonOnceTheNeighbourIsSilentToo() {
      ConfigWatch watch = new ConfigWatch(node(1));
      watch.onFailure(1, 0);
      watch.onSign(200 * MILLI);

      assertTrue(
          nextRead(watch, false, 200 * MILLI) <= 200 * MILLI + ConfigWatch.LOST_NANOS + MILLI);
    }

    @Test
    void aNodeThatHasReadNothingPausesToo() {
      ConfigWatch watch = new ConfigWatch(node(1));
      watch.onFailure(0, 0);

      assertFalse(watch.reads(true, 200 * MILLI));
      assertTrue(watch.reads(true, 300 * MILLI));
    }

    @Test
    void anAnswerEndsThePause() {
      ConfigWatch watch = new ConfigWatch(node(1));
      watch.onFailure(1, 0);
      watch.onAnswer();

      assertTrue(watch.reads(false, 1));
    }
  }

  /**
   * Many nodes of one zone with versions in a storm, while watchers are killed, cut off from the
   * source, or believed alive though they are not, the source is away for all at times, and one
   * sign in ten is lost.
   */
  @Nested
  class OverManyNodes {

    private static final int NODES = 40;
    private static final long STEP = 50 * MILLI;

    /** Time within which a node in touch must have a version: a usual bound of operators. */
    private static final long BOUND = 2 * SECOND;

    private static final class Node {
      private final NodeName name;
      private final ConfigWatch watch;
      private long version;
      private boolean down;
      private boolean cutOff;
      private boolean available;
      private long touchSinceNanos;

      private Node(NodeName name) {
        this.name = name;
        this.watch = new ConfigWatch(name);
      }
    }

    private final List<Node> nodes = zone(NODES).stream().map(Node::new).toList();
    private long reads;
    private long sourceBackNanos;

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void eachVersionReachesEachNodeInTime(long seed) {
      Random random = new Random(seed);
      List<Long> publishedNanos = new ArrayList<>(List.of(0L));
      nodes.forEach(node -> node.watch.onZone(zone(NODES)));
      for (long now = STEP; now < 60 * SECOND; now += STEP) {
        if (random.nextInt(8) == 0) {
          publishedNanos.add(now);
        }
        disturb(random, now);
        for (Node node : nodes) {
          step(node, publishedNanos.size() - 1, now, random);
        }
        check(publishedNanos, now);
      }
      assertTrue(reads < publishedNanos.size() * (long) NODES / 3, "reads " + reads);
    }

    private void disturb(Random random, long now) {
      if (random.nextInt(100) == 0) {
        sourceBackNanos = now + random.nextLong(2 * SECOND);
      }
      if (random.nextInt(20) != 0) {
        return;
      }
      Node node = nodes.get(random.nextInt(NODES));
      boolean kill = random.nextBoolean();
      node.down = kill ? !node.down : node.down;
      node.cutOff = kill ? node.cutOff : !node.cutOff;
      node.touchSinceNanos = now;
      // The members' views follow only now and then.
      if (random.nextBoolean()) {
        List<NodeName> alive = nodes.stream().filter(n -> !n.down).map(n -> n.name).toList();
        nodes.forEach(n -> n.watch.onZone(alive));
      }
    }

    private void step(Node node, long published, long now, Random random) {
      if (node.down) {
        node.available = false;
        return;
      }
      boolean news = false;
      if (node.watch.reads(false, now)) {
        if (node.cutOff || now < sourceBackNanos) {
          node.available = false;
          node.watch.onFailure(random.nextDouble(), now);
        } else {
          node.available = true;
          node.watch.onAnswer();
          news = node.version < published;
          reads += news ? 1 : 0;
          node.version = published;
        }
      }
      if (node.watch.tells(node.available, news, now)) {
        Set<Node> told = new HashSet<>(nodes);
        told.removeIf(other -> other == node || other.down || random.nextInt(10) == 0);
        told.forEach(other -> other.watch.onSign(now));
        told.forEach(other -> other.version = Math.max(other.version, node.version));
      }
    }

    private void check(List<Long> publishedNanos, long now) {
      for (Node node : nodes) {
        boolean inTouch = !node.down && !node.cutOff && now - node.touchSinceNanos > BOUND;
        if (inTouch && node.version + 1 < publishedNanos.size()) {
          long readableNanos =
              Math.max(sourceBackNanos, publishedNanos.get((int) node.version + 1));
          long lateNanos = now - readableNanos;
          assertTrue(lateNanos <= BOUND, node.name + " lacks a version after " + lateNanos);
        }
      }
    }
  }
}
