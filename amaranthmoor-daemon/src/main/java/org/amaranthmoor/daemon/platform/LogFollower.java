package org.amaranthmoor.daemon.platform;

import java.util.concurrent.atomic.AtomicBoolean;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.log.FailureLoggingRunner;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.platform.StateHolder;
import org.amaranthmoor.platform.StateReader;

/**
 * Reads the log continuously on its own thread and passes the newest state to the state holder.
 *
 * <p>Invariant: no failure ends the thread. Safe for use by several threads.
 */
public final class LogFollower implements AutoCloseable {

  private static final long LONG_POLL_MILLIS = 1_000;
  private static final long RETRY_DELAY_MILLIS = 500;

  /** Is called when the log has been read to its end. */
  public interface CatchUpListener {
    /**
     * Called when the log was read to its end and its records were applied.
     *
     * @param startedNanos when the read started, in monotonic nanoseconds
     */
    void onCaughtUp(long startedNanos);
  }

  private final StateReader reader;
  private final StateHolder holder;
  private final CatchUpListener catchUpListener;
  private final TimeSource time;
  private final EventLog log;
  private final FailureLoggingRunner tasks;
  private final AtomicBoolean available = new AtomicBoolean();
  private final Thread thread;
  private volatile boolean closed;

  /**
   * Creates a follower; {@link #start} starts it.
   *
   * @param reader reads the log
   * @param holder receives the states
   * @param catchUpListener is called when the log was read to its end
   * @param time the clock
   * @param log receives log lines
   */
  public LogFollower(
      StateReader reader,
      StateHolder holder,
      CatchUpListener catchUpListener,
      TimeSource time,
      EventLog log) {
    this.reader = reader;
    this.holder = holder;
    this.catchUpListener = catchUpListener;
    this.time = time;
    this.log = log;
    this.tasks = new FailureLoggingRunner(log);
    this.thread = Thread.ofPlatform().name("log-follower").daemon().unstarted(this::run);
  }

  /** Starts the thread. */
  public void start() {
    thread.start();
  }

  /** {@return whether the last read of the log succeeded} */
  public boolean available() {
    return available.get();
  }

  private void run() {
    boolean caughtUp = false;
    while (!closed) {
      try {
        caughtUp = step(caughtUp);
      } catch (InterruptedException e) {
        return;
      } catch (RuntimeException | Error e) {
        tasks.onFailure("log-follower-failed", e);
      }
    }
  }

  private boolean step(boolean caughtUp) throws InterruptedException {
    ClusterState current = holder.current();
    // A long poll shows only that the log had no newer records when the poll started.
    long startedNanos = time.nanos();
    switch (reader.step(current, caughtUp ? LONG_POLL_MILLIS : 0)) {
      case StateReader.Step.Progress progress -> {
        setAvailable(true, "");
        boolean changed = progress.state().offset() > current.offset();
        if (changed && holder.advance(progress.state(), progress.contiguous())) {
          log.info("state-advanced", () -> "offset=" + progress.state().offset());
        }
        if (progress.atEnd()) {
          catchUpListener.onCaughtUp(startedNanos);
        }
        return progress.atEnd();
      }
      case StateReader.Step.Unavailable unavailable -> {
        setAvailable(false, unavailable.detail());
        Thread.sleep(RETRY_DELAY_MILLIS);
        return false;
      }
    }
  }

  private void setAvailable(boolean now, String detail) {
    if (available.getAndSet(now) != now) {
      log.warn(now ? "log-available" : "log-unavailable", () -> "detail=" + EventLog.quote(detail));
    }
  }

  @Override
  public void close() {
    closed = true;
    thread.interrupt();
  }
}
