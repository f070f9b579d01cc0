package org.amaranthmoor.daemon.target;

import java.io.IOException;
import java.util.concurrent.ConcurrentLinkedDeque;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.model.TimeSource;

/**
 * Pools connections to the target.
 *
 * <p>Invariant: a connection whose last exchange did not end cleanly is never used again. Safe for
 * use by several threads; lock-free.
 */
public final class TargetConnectionPool implements AutoCloseable {

  /**
   * Age up to which an idle connection carries a request that must not run twice. The target may
   * close an idle connection at the moment a request is sent on it.
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
   * @param maxIdleConnections connections that are kept idle at most
   * @param idleTimeoutMillis time after which an idle connection is not used again, in milliseconds
   * @param time the time
   */
  public TargetConnectionPool(int maxIdleConnections, long idleTimeoutMillis, TimeSource time) {
    this.maxIdleConnections = maxIdleConnections;
    this.idleTimeoutNanos = idleTimeoutMillis * NANOS_PER_MILLI;
    this.time = time;
  }

  /**
   * Takes an idle connection or opens one.
   *
   * @param address the target's address
   * @param idempotent whether what it is for may be sent again if the target closes it
   * @param connectNanos longest time to open one, in nanoseconds
   */
  TargetConnection acquire(Endpoint address, boolean idempotent, long connectNanos)
      throws IOException {
    long maxIdleNanos =
        idempotent
            ? idleTimeoutNanos
            : Math.min(idleTimeoutNanos, MAX_IDLE_FOR_NON_IDEMPOTENT_NANOS);
    TargetConnection connection = idle.pollFirst();
    while (connection != null) {
      long limitNanos = Math.min(maxIdleNanos, connection.maxIdleNanos());
      boolean recentlyUsed = time.nanos() - connection.idleSinceNanos() <= limitNanos;
      if (recentlyUsed && connection.address().equals(address) && connection.isReusable()) {
        return connection;
      }
      connection.abort();
      connection = idle.pollFirst();
    }
    return TargetConnection.open(address, connectNanos);
  }

  void release(TargetConnection connection) {
    if (!connection.isReusable() || idle.size() >= maxIdleConnections) {
      connection.abort();
      return;
    }
    connection.setIdleSinceNanos(time.nanos());
    idle.addFirst(connection);
  }

  @Override
  public void close() {
    idle.forEach(TargetConnection::abort);
    idle.clear();
  }
}
