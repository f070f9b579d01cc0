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
 * Announces this node's target in the log, and takes it back.
 *
 * <p>Appends are repeated until the log shows the record; a repeated record counts once. Called
 * from one thread at a time.
 */
public final class Announcer {

  /** Time in which an announcement is expected to come back from the log, in nanoseconds. */
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
   * @param log the log
   * @param events events
   */
  public Announcer(NodeSettings settings, NodeIdentity identity, PlatformLog log, EventLog events) {
    this.settings = settings;
    this.identity = identity;
    this.log = log;
    this.events = events;
  }

  /** How a state shows this node. */
  public enum Standing {
    /** The state holds this run's announcement. */
    ANNOUNCED,
    /** The state does not hold it yet. */
    MISSING,
    /** The state held it before, and holds it no more. */
    EVICTED
  }

  /**
   * Finds how a state shows this node.
   *
   * @param state the state
   * @param wasAnnounced whether an earlier state held this run's announcement
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
   * Appends this run's announcement, unless a recent append may still show in the log.
   *
   * @param nowNanos the current time
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

  /** Lets the next announcement be appended at once. */
  public synchronized void allowImmediateAnnouncement() {
    nextAnnouncementNanos = Long.MIN_VALUE;
  }

  /** Appends that this run leaves. */
  public void leave() {
    append("left", LogRecords.left(identity.node(), identity.incarnation()));
  }

  /**
   * Appends that another node failed.
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
