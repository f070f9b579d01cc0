package org.amaranthmoor.daemon.platform;

import java.util.Optional;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.node.NodeIdentity;
import org.amaranthmoor.daemon.settings.NodeSettings;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.platform.AnnouncedTarget;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.platform.LogRecords;
import org.amaranthmoor.platform.PlatformLog;
import org.amaranthmoor.protocol.platform.Joined;
import org.amaranthmoor.protocol.platform.LogRecord;

/**
 * Appends this node's records on members to the log: that its target joins or leaves, and that
 * another node is evicted.
 *
 * <p>The announcement is appended again until the log contains it; a duplicate record is ignored.
 * Called from one thread at a time.
 */
public final class Announcer {

  /** Time within which an announcement is expected to be read back from the log. */
  private static final long ANNOUNCEMENT_RETRY_NANOS = 5_000_000_000L;

  private final NodeSettings settings;
  private final NodeIdentity identity;
  private final PlatformLog log;
  private final EventLog events;
  private long nextAnnouncementNanos = Long.MIN_VALUE;

  /**
   * Creates an announcer.
   *
   * @param settings settings of this node
   * @param identity this node
   * @param log the platform's log, which receives the records
   * @param events receives a log line for each append
   */
  public Announcer(NodeSettings settings, NodeIdentity identity, PlatformLog log, EventLog events) {
    this.settings = settings;
    this.identity = identity;
    this.log = log;
    this.events = events;
  }

  /** Whether a cluster state contains this node's announcement. */
  public enum Standing {
    /** The state contains the announcement of this incarnation. */
    ANNOUNCED,
    /** The state does not contain the announcement yet. */
    MISSING,
    /** An earlier state contained the announcement, and this one does not. */
    EVICTED
  }

  /**
   * Determines whether a state contains this node's announcement.
   *
   * @param state the state
   * @param wasAnnounced whether an earlier state contained the announcement of this incarnation
   * @return the standing
   */
  public Standing standing(ClusterState state, boolean wasAnnounced) {
    Optional<AnnouncedTarget> announced =
        Optional.ofNullable(state.announcedTargets().get(identity.node()));
    if (announced.filter(a -> a.incarnation().equals(identity.incarnation())).isPresent()) {
      return Standing.ANNOUNCED;
    }
    return wasAnnounced ? Standing.EVICTED : Standing.MISSING;
  }

  /**
   * Appends the announcement of this incarnation, unless a recent append may still appear in the
   * log.
   *
   * @param nowNanos the current monotonic time
   */
  public synchronized void announce(long nowNanos) {
    if (nowNanos < nextAnnouncementNanos) {
      return;
    }
    nextAnnouncementNanos = nowNanos + ANNOUNCEMENT_RETRY_NANOS;
    Joined joined =
        Joined.newBuilder()
            .setNode(identity.node().value())
            .setIncarnation(identity.incarnation().value())
            .setHost(settings.host())
            .setPort(settings.nodePort())
            .setZone(settings.zone().value())
            .setRegion(settings.region().value())
            .setTarget(settings.target().name().value())
            .setSlots(settings.target().slots())
            .build();
    append("announced", LogRecords.joined(joined));
  }

  /** Allows the next announcement without waiting for the previous one to appear in the log. */
  public synchronized void allowImmediateAnnouncement() {
    nextAnnouncementNanos = Long.MIN_VALUE;
  }

  /** Appends that this incarnation leaves. */
  public void leave() {
    append("left", LogRecords.left(identity.node(), identity.incarnation()));
  }

  /**
   * Appends that another node is evicted.
   *
   * @param node the node
   * @param incarnation its incarnation
   */
  public void evict(NodeName node, Incarnation incarnation) {
    append("evicted", LogRecords.evicted(node, incarnation, identity.node()));
  }

  private void append(String event, LogRecord record) {
    PlatformLog.AppendResult result = log.append(PlatformLog.MAIN_STREAM, record.toByteArray());
    events.info(event, () -> "record=" + record.getRecordId() + " result=" + result);
  }
}
