package org.amaranthmoor.node;

import java.util.List;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.Rendezvous;

/**
 * Decides whether this node reads the configuration from its source, or waits to hear of a new
 * version from a neighbour that does.
 *
 * <p>Answers the load pattern of hundreds of nodes that each wake for each of many versions in a
 * row, and of hundreds that each try a source that is away. In each availability zone a few
 * watchers, on which all members agree without talking, read; they tell their zone every {@link
 * #HEARTBEAT_INTERVAL_NANOS} that they still reach the source, and at once when a version is new.
 * Invariants: a node that has heard no watcher for {@link #HEARTBEAT_TIMEOUT_NANOS} reads for
 * itself, whatever it believes of members; so do one that is a watcher, one that has heard none
 * yet, and one whose neighbour did not pass a version on. A node that the source did not answer
 * tries again soon, unless a neighbour has said since then that it reaches the source: when the
 * source resets all connections at once, nobody waits for the others. Safe for use by several
 * threads.
 */
public final class ConfigReadPolicy {

  /** Watchers of an availability zone: with two of them gone at once, one is left. */
  static final int READERS_PER_ZONE = 3;

  /** Time between two signs of a watcher, in nanoseconds. */
  public static final long HEARTBEAT_INTERVAL_NANOS = 500_000_000L;

  /** Silence after which watchers count as gone, in nanoseconds: two signs may be lost. */
  public static final long HEARTBEAT_TIMEOUT_NANOS = 1_300_000_000L;

  /** First pause after the source did not answer, in milliseconds; doubles with each in a row. */
  private static final long INITIAL_BACKOFF_MILLIS = 300;

  /**
   * Longest pause while no neighbour reaches the source, in milliseconds: well within the bound of
   * a late version. Pauses are up to half as long again, so that nodes do not try together.
   */
  private static final long MAX_BACKOFF_MILLIS = 800;

  /** Pause while a neighbour reaches the source, in milliseconds. */
  private static final long RELAXED_BACKOFF_MILLIS = 2_500;

  /** Doublings of the pause at most. */
  private static final int MAX_BACKOFF_DOUBLINGS = 2;

  /** Part of a pause by which it varies. */
  private static final double MAX_JITTER_FRACTION = 0.5;

  private static final double NANOS_PER_MILLI = 1_000_000;

  private static final long CONFIG_KEY_HASH = Rendezvous.hash("configuration");

  private final NodeName self;
  private boolean designatedReader = true;
  private boolean heartbeatReceived;
  private long lastHeartbeatNanos;
  private int consecutiveFailures;
  private long lastFailureNanos;
  private double jitterScale;
  private boolean heartbeatSent;
  private long heartbeatSentNanos;

  /**
   * Creates a watch of a node that knows no other.
   *
   * @param self this node
   */
  public ConfigReadPolicy(NodeName self) {
    this.self = self;
  }

  /**
   * Takes in the members of this node's availability zone.
   *
   * @param zone the nodes that are believed to be there, this one included
   */
  public synchronized void onZoneMembers(List<NodeName> zone) {
    designatedReader =
        Rendezvous.rank(CONFIG_KEY_HASH, zone).stream()
            .limit(READERS_PER_ZONE)
            .anyMatch(self::equals);
  }

  /**
   * Takes in that a watcher of the zone has said that it reaches the source.
   *
   * @param nowNanos the current time
   */
  public synchronized void onReaderHeartbeat(long nowNanos) {
    heartbeatReceived = true;
    lastHeartbeatNanos = nowNanos;
  }

  /** Takes in that a neighbour did not pass on a version that it had told of. */
  public synchronized void onPeerFetchFailure() {
    heartbeatReceived = false;
  }

  /**
   * Returns whether this node reads from the source now.
   *
   * @param neverRead whether it has read nothing since its start, in which case it does not wait to
   *     hear of others
   * @param nowNanos the current time
   * @return whether it does; if not, it asks again soon
   */
  public synchronized boolean shouldRead(boolean neverRead, long nowNanos) {
    boolean responsible = designatedReader || neverRead || !hasLiveReader(nowNanos);
    return responsible
        && (consecutiveFailures == 0 || nowNanos - lastFailureNanos >= backoffNanos(nowNanos));
  }

  private boolean hasLiveReader(long nowNanos) {
    return heartbeatReceived && nowNanos - lastHeartbeatNanos <= HEARTBEAT_TIMEOUT_NANOS;
  }

  private long backoffNanos(long nowNanos) {
    boolean readerSeenSinceFailure =
        hasLiveReader(nowNanos) && lastHeartbeatNanos - lastFailureNanos > 0;
    int doublings = Math.min(consecutiveFailures - 1, MAX_BACKOFF_DOUBLINGS);
    long millis =
        readerSeenSinceFailure
            ? RELAXED_BACKOFF_MILLIS
            : Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << doublings);
    return (long) (millis * NANOS_PER_MILLI * (1 + MAX_JITTER_FRACTION * jitterScale));
  }

  /** Takes in that the source answered. */
  public synchronized void onReadSuccess() {
    consecutiveFailures = 0;
  }

  /**
   * Takes in that the source did not answer.
   *
   * @param randomFraction a random number from 0 to 1
   * @param nowNanos the current time
   */
  public synchronized void onReadFailure(double randomFraction, long nowNanos) {
    consecutiveFailures++;
    lastFailureNanos = nowNanos;
    jitterScale = randomFraction;
  }

  /**
   * Returns whether this node tells its zone now that it reaches the source; if so, it counts as
   * told.
   *
   * @param sourceReachable whether the source answered last time
   * @param newVersion whether there is a version of which the zone was not told
   * @param nowNanos the current time
   * @return whether it tells
   */
  public synchronized boolean claimHeartbeat(
      boolean sourceReachable, boolean newVersion, long nowNanos) {
    boolean due =
        newVersion || !heartbeatSent || nowNanos - heartbeatSentNanos >= HEARTBEAT_INTERVAL_NANOS;
    if (!designatedReader || !sourceReachable || !due) {
      return false;
    }
    heartbeatSent = true;
    heartbeatSentNanos = nowNanos;
    return true;
  }
}
