package org.amaranthmoor.daemon.target;

import java.io.IOException;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.model.TimeSource;

/**
 * A pool of connections to the target.
 *
 * <p>Invariant: a connection whose last exchange did not end cleanly is never reused. Safe for use
 * by several threads; lock-free.
 */
public final class TargetConnectionPool implements AutoCloseable {

  /**
   * Idle time up to which a connection is reused for a request that must not run twice: the target
   * may close an idle connection at the moment a request is sent on it.
   */
  private static final long MAX_IDLE_FOR_NON_IDEMPOTENT_NANOS = 200_000_000L;

  private static final long NANOS_PER_MILLI = 1_000_000L;

  private final int maxIdleConnections;
  private final long idleTimeoutNanos;
  private final TimeSource time;
  private final ConcurrentLinkedDeque<TargetConnection> idle = new ConcurrentLinkedDeque<>();

  /**
   * Creates an empty pool.
   *
   * @param maxIdleConnections maximum number of idle connections
   * @param idleTimeoutMillis time after which an idle connection is not reused, in milliseconds
   * @param time the clock
   */
  public TargetConnectionPool(int maxIdleConnections, long idleTimeoutMillis, TimeSource time) {
    this.maxIdleConnections = maxIdleConnections;
    this.idleTimeoutNanos = idleTimeoutMillis * NANOS_PER_MILLI;
    this.time = time;
  }

  /**
   * Returns an idle connection, or opens a new one if there is none to reuse.
   *
   * @param address the target's address
   * @param idempotent whether the request may be sent again if the target closes the connection
   * @param connectTimeoutNanos longest time to open a connection, in nanoseconds
   */
  TargetConnection acquire(Endpoint address, boolean idempotent, long connectTimeoutNanos)
      throws IOException {
    long maxIdleNanos =
        idempotent
            ? idleTimeoutNanos
            : Math.min(idleTimeoutNanos, MAX_IDLE_FOR_NON_IDEMPOTENT_NANOS);
    TargetConnection connection = idle.pollFirst();
    while (connection != null) {
      if (isUsable(connection, address, maxIdleNanos)) {
        return connection;
      }
      connection = idle.pollFirst();
    }
    return TargetConnection.open(address, connectTimeoutNanos);
  }

  // A connection that is not usable is closed.
  private boolean isUsable(TargetConnection connection, Endpoint address, long maxIdleNanos) {
    boolean usable = false;
    try {
      long limitNanos = Math.min(maxIdleNanos, connection.maxIdleNanos());
      boolean recentlyUsed = time.nanos() - connection.idleSinceNanos() <= limitNanos;
      usable = recentlyUsed && connection.address().equals(address) && connection.isReusable();
      return usable;
    } finally {
      if (!usable) {
        connection.abort();
      }
    }
  }

  void release(TargetConnection connection) {
    boolean kept = false;
    try {
      if (connection.isReusable() && idle.size() < maxIdleConnections) {
        connection.setIdleSinceNanos(time.nanos());
        idle.addFirst(connection);
        kept = true;
      }
    } finally {
      if (!kept) {
        connection.abort();
      }
    }
  }

  /** Closes all idle connections, as after the end of the target's process. */
  void clear() {
    for (TargetConnection connection = idle.pollFirst();
        connection != null;
        connection = idle.pollFirst()) {
      connection.abort();
    }
  }

  @Override
  public void close() {
    clear();
  }
}
