package org.amaranthmoor.daemon.platform;

import java.util.List;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.RendezvousHash;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.platform.CheckpointCodec;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.platform.PlatformLog;
import org.amaranthmoor.platform.StateHolder;
import org.amaranthmoor.platform.StateReader;

/**
 * Writes checkpoints before records lapse.
 *
 * <p>Any node may write one, and two are harmless, because equal offsets give equal states. To
 * spare the log, nodes are ranked anew for each period, and a node looks only when its turn has
 * come; the first to look writes, and the others then find its checkpoint. Called from one thread.
 */
public final class Checkpointer {

  /** Checkpoints written in one retention time. */
  private static final int PERIODS_PER_RETENTION = 6;

  /** Share of a period after which the next ranked node looks. */
  private static final int TURNS_PER_PERIOD = 10;

  private final StateReader reader;
  private final PlatformLog log;
  private final StateHolder holder;
  private final NodeName self;
  private final long periodMillis;
  private final TimeSource time;
  private final EventLog events;
  private long lookedInPeriod = -1;

  /**
   * Creates a checkpointer.
   *
   * @param reader reads checkpoints
   * @param log takes checkpoints
   * @param holder the newest state
   * @param self this node
   * @param retentionMillis how long the log keeps records, in milliseconds
   * @param time the time
   * @param events events
   */
  public Checkpointer(
      StateReader reader,
      PlatformLog log,
      StateHolder holder,
      NodeName self,
      long retentionMillis,
      TimeSource time,
      EventLog events) {
    this.reader = reader;
    this.log = log;
    this.holder = holder;
    this.self = self;
    this.periodMillis = Math.max(1, retentionMillis / PERIODS_PER_RETENTION);
    this.time = time;
    this.events = events;
  }

  /**
   * Writes a checkpoint if this node's turn has come and none was written in this period.
   *
   * @param reachable the reachable nodes, this one included
   */
  public void runIfDue(List<NodeName> reachable) {
    long now = time.wallMillis();
    long period = now / periodMillis;
    if (period == lookedInPeriod || holder.current().offset() == ClusterState.NO_OFFSET) {
      return;
    }
    int rank = RendezvousHash.rank(period, reachable).indexOf(self);
    long turnMillis = rank * (periodMillis / TURNS_PER_PERIOD);
    if (rank < 0 || now - period * periodMillis < turnMillis) {
      return;
    }
    lookedInPeriod = period;
    writeUnlessCovered(period);
  }

  private void writeUnlessCovered(long period) {
    if (reader.checkpointedSince(period)) {
      return;
    }
    ClusterState state = holder.current();
    byte[] bytes = CheckpointCodec.write(state, self, period);
    PlatformLog.AppendResult result = log.append(PlatformLog.CHECKPOINT_STREAM, bytes);
    events.info(
        "checkpoint-written",
        () -> "offset=" + state.offset() + " bytes=" + bytes.length + " result=" + result);
  }
}
