package org.amaranthmoor.daemon.mesh;

import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.yaml.Parsed;

/**
 * Follows the operator's configuration on a thread of its own.
 *
 * <p>Safe for use by several threads.
 */
final class ConfigFollower implements AutoCloseable {

  /**
   * Pause after a change, in milliseconds, so that changes in quick succession are read together; a
   * small part of the time in which a change must be in force.
   */
  private static final long PAUSE_AFTER_CHANGE_MILLIS = 250;

  /** Least pause after a failure, in milliseconds; the pause is up to twice as long. */
  private static final long PAUSE_AFTER_FAILURE_MILLIS = 300;

  private final ConfigFeed feed;
  private final Consumer<RoutingConfig> listener;
  private final EventLog log;
  private final Thread thread;
  private volatile boolean available;
  private volatile boolean closed;
  private long position = ConfigFeed.START;

  /**
   * Creates a follower; {@link #start} starts it.
   *
   * @param feed where configurations come from
   * @param listener takes each configuration
   * @param log told of changes and failures
   */
  ConfigFollower(ConfigFeed feed, Consumer<RoutingConfig> listener, EventLog log) {
    this.feed = feed;
    this.listener = listener;
    this.log = log;
    this.thread = Thread.ofVirtual().name("config-follower").unstarted(this::run);
  }

  void start() {
    thread.start();
  }

  /** {@return whether the feed answered last time} */
  boolean available() {
    return available;
  }

  private void run() {
    while (!closed) {
      try {
        step();
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException e) {
        log.warn("config-follower-failed", () -> "error=" + EventLog.quote(e.toString()));
      }
    }
  }

  private void step() throws InterruptedException {
    switch (feed.next(position)) {
      case ConfigFeed.Reading.Document read -> {
        setAvailable(true, "");
        position = read.position();
        take(read.document());
        Thread.sleep(PAUSE_AFTER_CHANGE_MILLIS);
      }
      case ConfigFeed.Reading.Nothing nothing -> {
        setAvailable(true, "");
        position = nothing.position();
      }
      case ConfigFeed.Reading.Unavailable unavailable -> {
        setAvailable(false, unavailable.detail());
        Thread.sleep(
            PAUSE_AFTER_FAILURE_MILLIS
                + ThreadLocalRandom.current().nextLong(PAUSE_AFTER_FAILURE_MILLIS));
      }
    }
  }

  private void take(byte[] document) {
    switch (feed.decode(document)) {
      case Parsed.Valid<RoutingConfig> valid -> listener.accept(valid.value());
      case Parsed.Invalid<RoutingConfig> invalid ->
          log.warn(
              "config-unreadable",
              () -> "problem=" + EventLog.quote(invalid.problems().getFirst().toString()));
    }
  }

  private void setAvailable(boolean now, String detail) {
    if (available != now) {
      available = now;
      if (now) {
        log.info("config-feed-reached", () -> "position=" + position);
      } else {
        log.warn("config-feed-lost", () -> "detail=" + EventLog.quote(detail));
      }
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
