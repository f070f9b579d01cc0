package org.amaranthmoor.target;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers for each connection which of its requests were handed to the target, so that an entry
 * side that lost the connection can find out and retry the others.
 *
 * <p>Invariants: a stream that was settled as fenced is never handed over, even if its request
 * arrives later; a stream that was forgotten is never settled as fenced. Safe for use by several
 * threads; guarded by its lock, which is held for map operations only.
 */
public final class ExchangeLedger {

  /** Maximum number of streams remembered per connection; open ones are kept beyond it. */
  static final int MAX_STREAMS_PER_CONNECTION = 4096;

  /** Time for which a closed connection is remembered, in nanoseconds. */
  static final long RETAIN_NANOS = 120_000_000_000L;

  /** Result of a settlement. */
  public enum Settlement {
    /** The connection or the stream is not remembered, so the request may have run. */
    UNKNOWN,
    /** The request was handed to the target. */
    HANDED_OVER,
    /** The request was not handed over and never will be. */
    FENCED
  }

  /**
   * Identifies a connection from an entry side.
   *
   * @param entry the entry side's node
   * @param incarnation the entry side's incarnation
   * @param connection number that the entry side assigned, unique per incarnation
   */
  public record ConnectionId(String entry, long incarnation, long connection) {}

  private static final class Connection {
    private final Map<Long, HandOver> streams = new LinkedHashMap<>();
    // Streams up to this number that are not in the map were seen and forgotten; they may have run.
    private long forgottenUpTo = -1;
    private long closedAtNanos = Long.MAX_VALUE;
  }

  private final Map<ConnectionId, Connection> connections = new HashMap<>();

  /** Creates an empty ledger. */
  public ExchangeLedger() {}

  /**
   * Opens a connection.
   *
   * @param id the connection
   */
  public synchronized void onConnected(ConnectionId id) {
    connections.computeIfAbsent(id, key -> new Connection());
  }

  /**
   * Closes a connection; its streams can be settled for {@link #RETAIN_NANOS} more.
   *
   * @param id the connection
   * @param nowNanos the current time
   */
  public synchronized void onDisconnected(ConnectionId id, long nowNanos) {
    Connection connection = connections.get(id);
    if (connection != null) {
      connection.closedAtNanos = nowNanos;
    }
    connections.values().removeIf(other -> isExpired(other, nowNanos));
  }

  private static boolean isExpired(Connection connection, long nowNanos) {
    return connection.closedAtNanos != Long.MAX_VALUE
        && nowNanos - connection.closedAtNanos > RETAIN_NANOS;
  }

  /**
   * Registers a request that arrived.
   *
   * @param id the connection
   * @param stream the stream
   * @return the request's hand-over; fenced if the stream was settled before, was forgotten, or
   *     belongs to an unknown connection
   */
  public synchronized HandOver register(ConnectionId id, long stream) {
    Connection connection = connections.get(id);
    if (connection == null || stream <= connection.forgottenUpTo) {
      HandOver fenced = new HandOver();
      fenced.fence();
      return fenced;
    }
    HandOver handOver = connection.streams.computeIfAbsent(stream, key -> new HandOver());
    forgetOldest(connection);
    return handOver;
  }

  /**
   * Settles a request of a lost connection: fences it unless it was handed over.
   *
   * @param id the connection
   * @param stream the stream
   * @return whether the request was handed over, is fenced from now on, or is not remembered
   */
  public synchronized Settlement settle(ConnectionId id, long stream) {
    Connection connection = connections.get(id);
    if (connection == null) {
      return Settlement.UNKNOWN;
    }
    HandOver handOver = connection.streams.get(stream);
    if (handOver == null) {
      if (stream <= connection.forgottenUpTo) {
        return Settlement.UNKNOWN;
      }
      handOver = new HandOver();
      connection.streams.put(stream, handOver);
    }
    return handOver.fence() ? Settlement.FENCED : Settlement.HANDED_OVER;
  }

  private static void forgetOldest(Connection connection) {
    Iterator<Map.Entry<Long, HandOver>> oldest = connection.streams.entrySet().iterator();
    while (connection.streams.size() > MAX_STREAMS_PER_CONNECTION && oldest.hasNext()) {
      Map.Entry<Long, HandOver> entry = oldest.next();
      if (entry.getValue().state() != HandOver.State.OPEN) {
        connection.forgottenUpTo = Math.max(connection.forgottenUpTo, entry.getKey());
        oldest.remove();
      }
    }
  }
}
