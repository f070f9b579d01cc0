package org.amaranthmoor.daemon.exchange;

import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicBoolean;

/**
 * Aborts work that blocks on a connection past its deadline.
 *
 * <p>A timeout of a socket limits each read, so that a peer that keeps sending single bytes is
 * never too late, and a write has none at all. Invariant: the action of a watched piece of work is
 * run at most once, and not after {@link Watched#close} has returned {@code true}; work whose
 * action cannot be run stays watched. Safe for use by several threads.
 */
public final class DeadlineWatch {

  private final Set<Watched> watched = ConcurrentHashMap.newKeySet();
  private final Executor executor;

  /**
   * Creates a watch.
   *
   * @param executor runs the actions, which may block
   */
  public DeadlineWatch(Executor executor) {
    this.executor = executor;
  }

  /** A piece of work that is being watched. */
  public final class Watched {

    private final long latestNanos;
    private final Runnable abort;
    private final AtomicBoolean ended = new AtomicBoolean();

    private Watched(long latestNanos, Runnable abort) {
      this.latestNanos = latestNanos;
      this.abort = abort;
    }

    /**
     * Ends the watch.
     *
     * @return whether the work was not aborted
     */
    public boolean close() {
      watched.remove(this);
      return ended.compareAndSet(false, true);
    }

    private boolean isOverdue(long nowNanos) {
      return nowNanos - latestNanos > 0;
    }

    private void startAbort() {
      if (!ended.compareAndSet(false, true)) {
        return;
      }
      try {
        executor.execute(abort);
        watched.remove(this);
      } catch (RuntimeException | Error e) {
        // It stays watched, so the next call starts the action.
        ended.set(false);
      }
    }
  }

  /**
   * Watches a piece of work until the watch is closed.
   *
   * @param latestNanos the time after which it is aborted, in monotonic nanoseconds
   * @param abort aborts it, which unblocks the thread that works on it
   * @return the watch
   */
  public Watched watch(long latestNanos, Runnable abort) {
    Watched work = new Watched(latestNanos, abort);
    watched.add(work);
    return work;
  }

  /**
   * Aborts what is overdue. Called several times a second; does not block.
   *
   * <p>If an action cannot be started, as on a full heap, the next call starts it; the others are
   * started all the same.
   *
   * @param nowNanos the current time, in monotonic nanoseconds
   */
  public void abortOverdue(long nowNanos) {
    for (Watched work : watched) {
      if (work.isOverdue(nowNanos)) {
        work.startAbort();
      }
    }
  }
}
