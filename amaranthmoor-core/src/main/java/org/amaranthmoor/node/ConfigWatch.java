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
 * #SIGN_NANOS} that they still reach the source, and at once when a version is new. Invariants: a
 * node that has heard no watcher for {@link #LOST_NANOS} reads for itself, whatever it believes of
 * members; so do one that is a watcher, one that has heard none yet, and one whose neighbour did
 * not pass a version on. A node that the source did not answer tries again soon, unless a neighbour
 * has said since then that it reaches the source: when the source resets all connections at once,
 * nobody waits for the others. Safe for use by several threads.
 */
public final class ConfigWatch {

  /** Watchers of an availability zone: with two of them gone at once, one is left. */
  static final int WATCHERS = 3;

  /** Time between two signs of a watcher, in nanoseconds. */
  public static final long SIGN_NANOS = 500_000_000L;

  /** Silence after which watchers count as gone, in nanoseconds: two signs may be lost. */
  public static final long LOST_NANOS = 1_300_000_000L;

  /** First pause after the source did not answer, in milliseconds; doubles with each in a row. */
  private static final long FIRST_PAUSE_MILLIS = 300;

  /**
   * Longest pause while no neighbour reaches the source, in milliseconds: well within the bound of
   * a late version. Pauses are up to half as long again, so that nodes do not try together.
   */
  private static final long MAX_PAUSE_MILLIS = 800;

  /** Pause while a neighbour reaches the source, in milliseconds. */
  private static final long RELIEVED_PAUSE_MILLIS = 2_500;

  /** Doublings of the pause at most. */
  private static final int MAX_DOUBLINGS = 2;

  /** Part of a pause by which it varies. */
  private static final double JITTER = 0.5;

  private static final double NANOS_PER_MILLI = 1_000_000;

  private static final long KEY = Rendezvous.hash("configuration");

  private final NodeName self;
  private boolean watcher = true;
  private boolean heard;
  private long heardNanos;
  private int failures;
  private long failedNanos;
  private double jitter;
  private boolean told;
  private long toldNanos;

  /**
   * Creates a watch of a node that knows no other.
   *
   * @param self this node
   */
  public ConfigWatch(NodeName self) {
    this.self = self;
  }

  /**
   * Takes in the members of this node's availability zone.
   *
   * @param zone the nodes that are believed to be there, this one included
   */
  public synchronized void onZone(List<NodeName> zone) {
    watcher = Rendezvous.rank(KEY, zone).stream().limit(WATCHERS).anyMatch(self::equals);
  }

  /**
   * Takes in that a watcher of the zone has said that it reaches the source.
   *
   * @param nowNanos the current time
   */
  public synchronized void onSign(long nowNanos) {
    heard = true;
    heardNanos = nowNanos;
  }

  /** Takes in that a neighbour did not pass on a version that it had told of. */
  public synchronized void onNotPassedOn() {
    heard = false;
  }

  /**
   * Returns whether this node reads from the source now.
   *
   * @param nothingYet whether it has read nothing since its start, in which case it does not wait
   *     to hear of others
   * @param nowNanos the current time
   * @return whether it does; if not, it asks again soon
   */
  public synchronized boolean reads(boolean nothingYet, long nowNanos) {
    boolean duty = watcher || nothingYet || !hears(nowNanos);
    return duty && (failures == 0 || nowNanos - failedNanos >= pauseNanos(nowNanos));
  }

  private boolean hears(long nowNanos) {
    return heard && nowNanos - heardNanos <= LOST_NANOS;
  }

  private long pauseNanos(long nowNanos) {
    boolean relieved = hears(nowNanos) && heardNanos - failedNanos > 0;
    int doublings = Math.min(failures - 1, MAX_DOUBLINGS);
    long millis =
        relieved
            ? RELIEVED_PAUSE_MILLIS
            : Math.min(MAX_PAUSE_MILLIS, FIRST_PAUSE_MILLIS << doublings);
    return (long) (millis * NANOS_PER_MILLI * (1 + JITTER * jitter));
  }

  /** Takes in that the source answered. */
  public synchronized void onAnswer() {
    failures = 0;
  }

  /**
   * Takes in that the source did not answer.
   *
   * @param drawn a random number from 0 to 1
   * @param nowNanos the current time
   */
  public synchronized void onFailure(double drawn, long nowNanos) {
    failures++;
    failedNanos = nowNanos;
    jitter = drawn;
  }

  /**
   * Returns whether this node tells its zone now that it reaches the source; if so, it counts as
   * told.
   *
   * @param reached whether the source answered last time
   * @param news whether there is a version of which the zone was not told
   * @param nowNanos the current time
   * @return whether it tells
   */
  public synchronized boolean tells(boolean reached, boolean news, long nowNanos) {
    boolean due = news || !told || nowNanos - toldNanos >= SIGN_NANOS;
    if (!watcher || !reached || !due) {
      return false;
    }
    told = true;
    toldNanos = nowNanos;
    return true;
  }
}
