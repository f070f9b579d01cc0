package org.amaranthmoor.target;

import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Remembers the hand-overs of each connection, so that an entry side that lost a connection can
 * settle its requests.
 *
 * <p>Invariants: a stream settled as fenced is never handed over, even if its request arrives
 * later; a stream that was forgotten is never settled as fenced. Safe for use by several threads;
 * guarded by its lock, which is held for map operations only.
 */
public final class ExchangeLedger {

  /** Most finished streams remembered for a connection. */
  static final int MAX_STREAMS_PER_CONNECTION = 4096;

  /** Time a closed connection is remembered, in nanoseconds. */
  static final long RETAIN_NANOS = 120_000_000_000L;

  /** Answer to a settlement. */
  public enum Settlement {
    /** This ledger cannot say. */
    UNKNOWN,
    /** The request was handed to the target. */
    HANDED_OVER,
    /** The request was not handed over and never will be. */
    FENCED
  }

  /**
   * Names a connection from an entry side.
   *
   * @param entry the entry side's node
   * @param incarnation the entry side's incarnation
   * @param connection number the entry side gave it, unique per incarnation
   */
  public record ConnectionId(String entry, long incarnation, long connection) {}

  private static final class Connection {
    private final Map<Long, HandOver> streams = new LinkedHashMap<>();
    // Streams up to this one that are not in the map were seen and forgotten.
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
   * Closes a connection; its streams can be settled for a while.
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
   * @return the request's hand-over; fenced if the stream was settled before or cannot be tracked
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
   * Settles a request of a lost connection.
   *
   * @param id the connection
   * @param stream the stream
   * @return whether the request was handed over, is fenced from now on, or neither can be said
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
