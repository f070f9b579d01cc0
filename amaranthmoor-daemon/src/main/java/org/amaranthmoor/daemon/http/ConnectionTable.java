package org.amaranthmoor.daemon.http;

import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.amaranthmoor.connection.ConnectionAdmission;

/**
 * The accepted connections of a port, and those that are being refused.
 *
 * <p>Invariants: a connection that was retired for another one serves no further request, see
 * {@link #beginRequest}; a connection on which bytes wait is not retired. Each operation takes
 * constant time, except for {@link #accepted}. Safe for use by several threads.
 *
 * @param <C> type of the connections
 */
final class ConnectionTable<C extends ConnectionTable.Connection> {

  /** Largest number of idle connections that are checked for waiting bytes at a time. */
  private static final int MAX_CHECKED = 8;

  /** Time after a search without result in which no other is made, in nanoseconds. */
  private static final long SEARCH_INTERVAL_NANOS = 20_000_000L;

  /** An accepted connection. */
  interface Connection {

    /** {@return whether bytes have arrived that were not read} */
    boolean hasBytesWaiting();

    /**
     * Ends the connection for another one. A request whose first bytes were read meanwhile is
     * refused.
     */
    void retire();

    /**
     * Returns whether the client of a request on this connection makes so little progress that the
     * connection can be closed for another one.
     *
     * @param nowNanos the present
     * @return whether it can be closed
     */
    default boolean isStalled(long nowNanos) {
      return false;
    }

    /**
     * {@return a measure of the progress of the client}
     *
     * @param nowNanos the present
     */
    default double recentBytes(long nowNanos) {
      return 0;
    }

    /**
     * Ends the connection of a request that is stalled. Must not block.
     *
     * @return false if the request is being served or has ended meanwhile
     */
    default boolean closeStalled() {
      return false;
    }
  }

  /**
   * Numbers of connections.
   *
   * @param idle number of accepted connections that wait for a request
   * @param active number of the other accepted connections
   * @param refusals number of connections that are being refused
   */
  record Counts(int idle, int active, int refusals) {}

  private final ConnectionAdmission admission;
  private final Set<C> accepted = new LinkedHashSet<>();
  // Both in the order in which the connections became idle.
  private final Set<C> kept = new LinkedHashSet<>();
  private final Map<C, Long> unusedSinceNanos = new LinkedHashMap<>();
  private int refusals;
  private long lastSearchNanos = Long.MIN_VALUE;

  ConnectionTable(ConnectionAdmission admission) {
    this.admission = admission;
  }

  /**
   * Decides on a new connection. Adds it if it is accepted, after closing another one if necessary;
   * counts it if it is to be refused with a response, until {@link #endRefusal}.
   *
   * @param connection the connection
   * @param nowNanos the present
   * @return the decision
   */
  ConnectionAdmission.Decision add(C connection, long nowNanos) {
    Optional<C> idle = Optional.empty();
    ConnectionAdmission.Decision decision;
    synchronized (this) {
      boolean hasRoom = accepted.size() < admission.capacity();
      boolean closed = !hasRoom && closeLeastProgressing(nowNanos);
      if (!hasRoom && !closed) {
        idle = longestIdle(nowNanos);
      }
      decision =
          closed
              ? ConnectionAdmission.Decision.REPLACE_IDLE
              : admission.decide(accepted.size(), idle.isPresent(), refusals);
      switch (decision) {
        case ACCEPT, REPLACE_IDLE -> {
          accepted.add(connection);
          unusedSinceNanos.put(connection, nowNanos);
          idle.ifPresent(this::remove);
        }
        case REFUSE -> refusals++;
        case DROP -> {}
      }
    }
    idle.ifPresent(Connection::retire);
    return decision;
  }

  // A connection whose request is served meanwhile runs on, so it must stay counted.
  private boolean closeLeastProgressing(long nowNanos) {
    Optional<C> stalled = leastProgressing(nowNanos);
    if (stalled.isEmpty() || !stalled.get().closeStalled()) {
      return false;
    }
    remove(stalled.get());
    return true;
  }

  // A search that finds none is not repeated at once, as it looks at all connections.
  private Optional<C> leastProgressing(long nowNanos) {
    if (lastSearchNanos != Long.MIN_VALUE && nowNanos - lastSearchNanos < SEARCH_INTERVAL_NANOS) {
      return Optional.empty();
    }
    Optional<C> found =
        accepted.stream()
            .filter(connection -> connection.isStalled(nowNanos))
            .min(Comparator.comparingDouble(connection -> connection.recentBytes(nowNanos)));
    lastSearchNanos = found.isPresent() ? Long.MIN_VALUE : nowNanos;
    return found;
  }

  /**
   * Closes the connection that has been idle for longest, if any.
   *
   * @param nowNanos the present
   */
  void closeLongestIdle(long nowNanos) {
    Optional<C> retired;
    synchronized (this) {
      retired = longestIdle(nowNanos);
      retired.ifPresent(this::remove);
    }
    retired.ifPresent(Connection::retire);
  }

  private Optional<C> longestIdle(long nowNanos) {
    Optional<C> longestKept = firstWithoutBytes(kept.iterator());
    if (longestKept.isPresent() || unusedSinceNanos.isEmpty()) {
      return longestKept;
    }
    long oldestNanos = unusedSinceNanos.values().iterator().next();
    return ConnectionAdmission.isUnusedIdle(nowNanos - oldestNanos)
        ? firstWithoutBytes(unusedSinceNanos.keySet().iterator())
        : Optional.empty();
  }

  private Optional<C> firstWithoutBytes(Iterator<C> connections) {
    for (int i = 0; i < MAX_CHECKED && connections.hasNext(); i++) {
      C connection = connections.next();
      if (!connection.hasBytesWaiting()) {
        return Optional.of(connection);
      }
    }
    return Optional.empty();
  }

  /** Records that a connection waits for a further request. */
  synchronized void becomeIdle(C connection) {
    if (accepted.contains(connection)) {
      kept.add(connection);
    }
  }

  /**
   * Records that a request begins to arrive on a connection.
   *
   * @param connection the connection
   * @return whether the request may be served; otherwise the connection was retired meanwhile
   */
  synchronized boolean beginRequest(C connection) {
    kept.remove(connection);
    unusedSinceNanos.remove(connection);
    return accepted.contains(connection);
  }

  /** Removes a connection that has ended; does nothing if it was removed before. */
  synchronized void remove(C connection) {
    accepted.remove(connection);
    kept.remove(connection);
    unusedSinceNanos.remove(connection);
  }

  /** Records that a refused connection was closed. */
  synchronized void endRefusal() {
    refusals--;
  }

  /** {@return the accepted connections} */
  synchronized List<C> accepted() {
    return List.copyOf(accepted);
  }

  /** {@return the numbers of connections} */
  synchronized Counts counts() {
    int idle = kept.size() + unusedSinceNanos.size();
    return new Counts(idle, accepted.size() - idle, refusals);
  }
}
