package org.amaranthmoor.node;

import java.util.List;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RendezvousHash;

/**
 * Decides whether this node reads the configuration from its source, or waits for a peer in its
 * availability zone to announce a new version.
 *
 * <p>Limits the load on the source when hundreds of nodes would each read every one of many
 * versions in a row, or would each retry while the source is unavailable. In each availability zone
 * a few designated readers read the source. All members choose the same readers by rendezvous
 * hashing, without communication. Each reader sends its zone a heartbeat every {@link
 * #HEARTBEAT_INTERVAL_NANOS} while the source answers it, and at once for a new version. A
 * heartbeat states when the source answered last, as a read that waits may never be answered.
 *
 * <p>Invariants: a designated reader reads the source. Any other node reads it too while it has not
 * received a heartbeat yet, if its last heartbeat is older than {@link #HEARTBEAT_TIMEOUT_NANOS}
 * (whatever its view of the members says), or after a peer failed to deliver a version that it had
 * announced. After a failed read a node retries soon, unless the source has answered a reader since
 * the failure; so no node waits for the others when the source fails all of them at once.
 *
 * <p>Safe for use by several threads.
 */
public final class ConfigReadPolicy {

  /** Designated readers of an availability zone: one is left if two fail at once. */
  static final int READERS_PER_ZONE = 3;

  /** Time between two heartbeats of a reader, in nanoseconds. */
  public static final long HEARTBEAT_INTERVAL_NANOS = 500_000_000L;

  /**
   * Time without a heartbeat after which the readers count as lost, in nanoseconds; two heartbeats
   * may be lost.
   */
  public static final long HEARTBEAT_TIMEOUT_NANOS = 1_300_000_000L;

  /** Backoff after a first failed read, in milliseconds; doubles with each further failure. */
  private static final long INITIAL_BACKOFF_MILLIS = 300;

  /**
   * Longest backoff before jitter while no reader reaches the source, in milliseconds; well below
   * the time within which a version must reach every node.
   */
  private static final long MAX_BACKOFF_MILLIS = 800;

  /** Backoff before jitter while a reader reaches the source, in milliseconds. */
  private static final long RELAXED_BACKOFF_MILLIS = 2_500;

  /** Largest number of times that the backoff doubles. */
  private static final int MAX_BACKOFF_DOUBLINGS = 2;

  /** Largest part of a backoff that is added as jitter, so that nodes do not retry together. */
  private static final double MAX_JITTER_FRACTION = 0.5;

  private static final double NANOS_PER_MILLI = 1_000_000;

  private static final long CONFIG_KEY_HASH = RendezvousHash.hash("configuration");

  private final NodeName self;
  private boolean designatedReader = true;
  private boolean heartbeatReceived;
  private long lastHeartbeatNanos;
  private boolean answerKnown;
  private long lastAnswerNanos;
  private int consecutiveFailures;
  private long lastFailureNanos;
  private double jitterScale;
  private boolean heartbeatSent;
  private long heartbeatSentNanos;

  /**
   * Creates the policy of a node that knows no other member.
   *
   * @param self this node
   */
  public ConfigReadPolicy(NodeName self) {
    this.self = self;
  }

  /**
   * Sets the members of this node's availability zone, from which the readers are chosen.
   *
   * @param zone the nodes that are believed to be reachable, this one included
   */
  public synchronized void onZoneMembers(List<NodeName> zone) {
    designatedReader = designatedReaders(zone).contains(self);
  }

  /** Returns the designated readers of an availability zone, given its reachable nodes. */
  static List<NodeName> designatedReaders(List<NodeName> zone) {
    return byRank(zone).stream().limit(READERS_PER_ZONE).toList();
  }

  /** Returns nodes in an order that all members agree on. */
  static List<NodeName> byRank(List<NodeName> nodes) {
    return RendezvousHash.rank(CONFIG_KEY_HASH, nodes);
  }

  /**
   * Records a heartbeat of a designated reader of the zone.
   *
   * @param nowNanos the current time
   */
  public synchronized void onReaderHeartbeat(long nowNanos) {
    heartbeatReceived = true;
    lastHeartbeatNanos = nowNanos;
  }

  /**
   * Records that the source answered a reader of the zone.
   *
   * @param answerNanos when it did
   */
  public synchronized void onReaderAnswered(long answerNanos) {
    if (!answerKnown || answerNanos - lastAnswerNanos > 0) {
      answerKnown = true;
      lastAnswerNanos = answerNanos;
    }
  }

  /** Records that a peer failed to deliver a version that it had announced. */
  public synchronized void onPeerFetchFailure() {
    heartbeatReceived = false;
  }

  /**
   * Returns whether this node should read from the source now. If not, the caller checks again
   * soon.
   *
   * @param neverRead whether this node has read nothing since its start, in which case it does not
   *     rely on other readers
   * @param nowNanos the current time
   * @return whether this node should read
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
    boolean answeredSinceFailure =
        hasLiveReader(nowNanos) && answerKnown && lastAnswerNanos - lastFailureNanos > 0;
    int doublings = Math.min(consecutiveFailures - 1, MAX_BACKOFF_DOUBLINGS);
    long millis =
        answeredSinceFailure
            ? RELAXED_BACKOFF_MILLIS
            : Math.min(MAX_BACKOFF_MILLIS, INITIAL_BACKOFF_MILLIS << doublings);
    return (long) (millis * NANOS_PER_MILLI * (1 + MAX_JITTER_FRACTION * jitterScale));
  }

  /** Records that the source answered, which ends the backoff. */
  public synchronized void onReadSuccess() {
    consecutiveFailures = 0;
  }

  /**
   * Records that the source did not answer, which starts or extends the backoff.
   *
   * @param randomFraction a random number from 0 to 1 that scales the jitter
   * @param nowNanos the current time
   */
  public synchronized void onReadFailure(double randomFraction, long nowNanos) {
    consecutiveFailures++;
    lastFailureNanos = nowNanos;
    jitterScale = randomFraction;
  }

  /**
   * Returns whether this node should send a heartbeat to its zone now; if so, the heartbeat counts
   * as sent.
   *
   * @param sourceReachable whether the source answered last time
   * @param newVersion whether this node has a version that it has not announced to the zone
   * @param nowNanos the current time
   * @return whether this node should send a heartbeat
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
