package org.amaranthmoor.daemon.mesh;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Consumer;
import org.amaranthmoor.caller.HostRoutes;
import org.amaranthmoor.config.Teams;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.ConfigReadPolicy;
import org.amaranthmoor.node.ReadWaitPolicy;
import org.amaranthmoor.yaml.ParseResult;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

// A full heap ended the reading of the configuration for good, or lost a version that was read.
class ConfigFollowerTests {

  private static final NodeName NODE = new NodeName("n1");
  private static final SourceEpoch EPOCH = new SourceEpoch(1);
  private static final long TIMEOUT_SECONDS = 10;
  private static final long POLL_MILLIS = 20;

  private final CountDownLatch inForce = new CountDownLatch(1);
  private final AtomicBoolean failed = new AtomicBoolean();
  private Optional<ConfigFollower> started = Optional.empty();

  /** A source with one version; a read after it waits until it is interrupted. */
  private static class OneVersionFeed implements ConfigFeed {
    @Override
    public ReadResult readAfter(Position position, Duration maxWait) {
      if (position.equals(START)) {
        return new ReadResult.Records(
            Optional.of(new byte[0]), new ZoneUpdate.Changes(Map.of()), new Position(EPOCH, 1));
      }
      try {
        new CountDownLatch(1).await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
      return new ReadResult.Unavailable("interrupted");
    }

    @Override
    public ParseResult<RoutingConfig> decode(byte[] document) {
      return new ParseResult.Valid<>(
          new RoutingConfig(
              1,
              new HostRoutes(List.of(), () -> 0),
              Map.of(),
              Map.of(),
              Map.of(),
              Teams.NONE,
              document));
    }
  }

  private ConfigFollower start(ConfigFeed feed, Consumer<RoutingConfig> onConfig) {
    TimeSource time = TimeSource.system();
    ConfigFollower follower =
        new ConfigFollower(
            feed,
            onConfig,
            (zones, position) -> {},
            new ConfigReadPolicy(NODE),
            new ReadWaitPolicy(NODE, Duration.ofSeconds(2)),
            time,
            new EventLog(System.getLogger("test"), time));
    started = Optional.of(follower);
    follower.start();
    return follower;
  }

  private void failOnce() {
    if (failed.compareAndSet(false, true)) {
      throw new OutOfMemoryError("test");
    }
  }

  @AfterEach
  void close() {
    started.ifPresent(ConfigFollower::close);
  }

  @Test
  void anErrorDuringAReadDoesNotEndTheReading() throws InterruptedException {
    ConfigFeed feed =
        new OneVersionFeed() {
          @Override
          public ReadResult readAfter(Position position, Duration maxWait) {
            failOnce();
            return super.readAfter(position, maxWait);
          }
        };

    start(feed, config -> inForce.countDown());

    assertTrue(inForce.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  @Test
  void aVersionWhoseDecodingFailedByAnErrorIsReadAgain() throws InterruptedException {
    ConfigFeed feed =
        new OneVersionFeed() {
          @Override
          public ParseResult<RoutingConfig> decode(byte[] document) {
            failOnce();
            return super.decode(document);
          }
        };

    start(feed, config -> inForce.countDown());

    assertTrue(inForce.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  @Test
  void aVersionThatAnErrorKeptFromBeingInForceIsReadAgain() throws InterruptedException {
    start(
        new OneVersionFeed(),
        config -> {
          failOnce();
          inForce.countDown();
        });

    assertTrue(inForce.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
  }

  // A read whose response was lost was waited for although other nodes had its records.
  @Test
  @Timeout(TIMEOUT_SECONDS)
  void aReadWhoseResponseWasLostIsGivenUpAndReadAgain() throws InterruptedException {
    CountDownLatch waiting = new CountDownLatch(1);
    CountDownLatch second = new CountDownLatch(2);
    ConfigFeed feed =
        new OneVersionFeed() {
          @Override
          public ReadResult readAfter(Position position, Duration maxWait) {
            if (position.equals(START)) {
              return super.readAfter(position, maxWait);
            }
            if (waiting.getCount() > 0) {
              waiting.countDown();
              return super.readAfter(position, maxWait);
            }
            return new ReadResult.Records(
                Optional.of(new byte[0]),
                new ZoneUpdate.Changes(Map.of()),
                new Position(EPOCH, position.offset() + 1));
          }
        };
    ConfigFollower follower = start(feed, config -> second.countDown());
    assertTrue(waiting.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));

    follower.onPeerPosition(new ConfigFeed.Position(EPOCH, 2));
    while (second.getCount() > 0 && !second.await(POLL_MILLIS, TimeUnit.MILLISECONDS)) {
      follower.abortLostRead();
    }
  }

  // After a failed read the follower was interrupted as if that read still waited, and the result
  // of
  // the next read was discarded.
  @Test
  void aReadThatFailedIsNotAbortedByALaterEpoch() throws InterruptedException {
    CountDownLatch readFailed = new CountDownLatch(1);
    AtomicInteger readsAfterAbort = new AtomicInteger();
    CountDownLatch second = new CountDownLatch(1);
    ConfigFeed feed =
        new OneVersionFeed() {
          @Override
          public ReadResult readAfter(Position position, Duration maxWait) {
            if (position.equals(START)) {
              return super.readAfter(position, maxWait);
            }
            if (readFailed.getCount() > 0) {
              readFailed.countDown();
              throw new OutOfMemoryError("test");
            }
            readsAfterAbort.incrementAndGet();
            return new ReadResult.Records(
                Optional.of(new byte[0]),
                new ZoneUpdate.Changes(Map.of()),
                new Position(EPOCH, position.offset() + 1));
          }
        };
    AtomicInteger published = new AtomicInteger();
    ConfigFollower follower =
        start(
            feed,
            config -> {
              if (published.incrementAndGet() == 2) {
                second.countDown();
              }
            });
    assertTrue(readFailed.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));

    follower.abortReadBefore(new SourceEpoch(2));

    assertTrue(second.await(TIMEOUT_SECONDS, TimeUnit.SECONDS));
    assertEquals(1, readsAfterAbort.get());
  }
}
