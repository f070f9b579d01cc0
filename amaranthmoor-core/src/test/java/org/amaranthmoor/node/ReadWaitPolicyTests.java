package org.amaranthmoor.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;
import org.amaranthmoor.model.NodeName;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class ReadWaitPolicyTests {

  private static final Duration BOUND = Duration.ofSeconds(3);
  private static final Duration TURN = Duration.ofSeconds(1);

  private static List<NodeName> nodes(int count) {
    return IntStream.range(0, count).mapToObj(number -> new NodeName("n" + number)).toList();
  }

  private static ConfigReaders readers(int count) {
    return new ConfigReaders(nodes(count), List.of());
  }

  private static ReadWaitPolicy policy(int index, int readers) {
    ReadWaitPolicy policy = new ReadWaitPolicy(new NodeName("n" + index), BOUND);
    policy.onReaders(readers(readers));
    return policy;
  }

  @Test
  void aReadDoesNotWaitUntilTheSourceHasAnsweredOnce() {
    assertEquals(Duration.ZERO, policy(4, 9).nextWait());
  }

  @Test
  void aReadAfterAFailureDoesNotWait() {
    ReadWaitPolicy policy = policy(4, 9);
    policy.onRecords();
    policy.onFailure();

    assertEquals(Duration.ZERO, policy.nextWait());
  }

  @Test
  void readersThatWereAnsweredTogetherEndTheirReadsInTurn() {
    for (int i = 0; i < 9; i++) {
      ReadWaitPolicy policy = policy(i, 9);
      policy.onRecords();
      assertEquals(TURN.multipliedBy(i + 1), policy.nextWait());
      policy.onNoRecords();
      assertEquals(TURN.multipliedBy(9), policy.nextWait());
    }
  }

  @Test
  void aNodeThatIsNotDesignatedHasItsTurnAfterTheReaders() {
    ReadWaitPolicy policy = policy(12, 9);
    policy.onRecords();

    assertEquals(TURN.multipliedBy(10), policy.nextWait());
  }

  @Test
  void aReadWaitsForABoundedTimeHoweverManyReadersThereAre() {
    ReadWaitPolicy policy = policy(300, 900);
    policy.onRecords();
    assertEquals(ReadWaitPolicy.MAX_WAIT, policy.nextWait());
    policy.onNoRecords();
    assertEquals(ReadWaitPolicy.MAX_WAIT, policy.nextWait());
  }

  /**
   * Simulates the readers of a mesh and a source that loses the responses that are due, and the
   * requests that are sent, while it is silent. A reader announces each version to the others.
   */
  @Nested
  class WhenTheSourceLosesResponses {

    private static final int READERS = 9;
    private static final long MILLI = 1_000_000L;
    private static final long STEP_MILLIS = 20;
    private static final long RESPONSE_TIMEOUT_MILLIS = 700;
    private static final long ANNOUNCEMENT_MILLIS = 600;

    /** Time after the end of a disturbance from which on the propagation bound holds. */
    private static final long STABLE_MILLIS = 3_000;

    private static final class Reader {
      private final NodeName name;
      private final ConfigReadPolicy readPolicy;
      private final ReadWaitPolicy waitPolicy;
      private boolean reading;
      private boolean lost;
      private long endsAt;
      private int version;
      private int inForce;
      private boolean answered;
      private long pausedUntil;

      private Reader(NodeName name, int count) {
        this.name = name;
        this.readPolicy = new ConfigReadPolicy(name);
        this.readPolicy.onZoneMembers(List.of(name));
        this.waitPolicy = new ReadWaitPolicy(name, Duration.ofSeconds(2));
        this.waitPolicy.onReaders(readers(count));
      }
    }

    private record Announcement(long arrivesAt, int version) {}

    private final List<Reader> readers =
        nodes(READERS).stream().map(name -> new Reader(name, READERS)).toList();
    private final List<Announcement> announcements = new ArrayList<>();
    private final List<Long> published = new ArrayList<>(List.of(0L));
    private long silentFrom;
    private long silentUntil;
    private int reads;

    private boolean silent(long now) {
      return now >= silentFrom && now < silentUntil;
    }

    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12})
    void eachVersionIsInForceInTimeAfterASilence(long seed) {
      Random random = new Random(seed);
      silentFrom = 25_000L + random.nextInt(10_000);
      silentUntil = silentFrom + 200 + random.nextInt(9_000);
      // A version just before the silence makes all readers read again while the source is silent.
      List<Long> due =
          List.of(
              2_000L,
              silentFrom - random.nextInt(600),
              silentFrom + (silentUntil - silentFrom) / 2,
              silentUntil + random.nextInt(2_000),
              silentUntil + 4_000 + random.nextInt(3_000));
      for (long now = 0; now < silentUntil + 15_000; now += STEP_MILLIS) {
        if (published.size() <= due.size() && now >= due.get(published.size() - 1)) {
          published.add(now);
          onPublished(now);
        }
        step(now, random);
        check(now);
      }
    }

    @Test
    void theSourceIsReadAboutOncePerTurnHoweverManyReadersThereAre() {
      silentFrom = Long.MAX_VALUE;
      for (long now = 0; now < 60_000; now += STEP_MILLIS) {
        step(now, new Random(1));
      }

      assertTrue(reads <= 60_000 / (2_000 / ReadWaitPolicy.TURNS_PER_BOUND) + 3 * READERS);
    }

    private void onPublished(long now) {
      for (Reader reader : readers) {
        if (reader.reading && !reader.lost) {
          reader.lost = silent(now);
          reader.endsAt = reader.lost ? reader.endsAt : now;
        }
      }
    }

    private void step(long now, Random random) {
      announcements.stream()
          .filter(announcement -> announcement.arrivesAt() <= now)
          .forEach(
              announcement ->
                  readers.forEach(
                      reader -> reader.inForce = Math.max(reader.inForce, announcement.version())));
      readers.forEach(reader -> step(reader, now, random));
    }

    private void step(Reader reader, long now, Random random) {
      if (reader.reading && now >= reader.endsAt + (reader.lost ? RESPONSE_TIMEOUT_MILLIS : 0)) {
        end(reader, now, random);
      }
      boolean due = !reader.reading && now >= reader.pausedUntil;
      if (due && reader.readPolicy.shouldRead(!reader.answered, now * MILLI)) {
        start(reader, now);
      }
    }

    private void start(Reader reader, long now) {
      reads++;
      long waitMillis = reader.waitPolicy.nextWait().toMillis();
      boolean recordsExist = reader.version < published.size() - 1;
      reader.reading = true;
      reader.endsAt = now + (recordsExist ? 0 : waitMillis);
      reader.lost = silent(now);
    }

    private void end(Reader reader, long now, Random random) {
      reader.reading = false;
      if (reader.lost || silent(now)) {
        reader.waitPolicy.onFailure();
        reader.readPolicy.onReadFailure(random.nextDouble(), now * MILLI);
        // The time limit of the read has to pass if its response was due in the silence.
        reader.pausedUntil = reader.lost ? now : now + RESPONSE_TIMEOUT_MILLIS;
        return;
      }
      reader.answered = true;
      reader.readPolicy.onReadSuccess();
      int newest = published.size() - 1;
      if (newest > reader.version) {
        reader.version = newest;
        reader.inForce = Math.max(reader.inForce, newest);
        reader.waitPolicy.onRecords();
        reader.pausedUntil = now + 250;
        announcements.add(new Announcement(now + ANNOUNCEMENT_MILLIS, newest));
      } else {
        reader.waitPolicy.onNoRecords();
      }
    }

    private void check(long now) {
      if (now >= silentFrom && now < silentUntil + STABLE_MILLIS) {
        return;
      }
      for (Reader reader : readers) {
        int next = reader.inForce + 1;
        if (next < published.size()) {
          long late = now - published.get(next);
          assertTrue(
              late <= 2_000, () -> reader.name + " lacks version " + next + " for ms: " + late);
        }
      }
    }
  }
}
