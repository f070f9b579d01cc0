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
 * Writes checkpoints before the log deletes the records that they cover.
 *
 * <p>Any node may write one, and two are harmless, because equal offsets give equal states. To
 * limit the load on the log, each period ranks the nodes anew, and each rank waits longer before
 * its node checks the log. The first node that checks writes the checkpoint, and the others find
 * it. Called from one thread.
 */
public final class Checkpointer {

  /** Number of checkpoint periods within the retention time of the log. */
  private static final int PERIODS_PER_RETENTION = 6;

  /** Number of ranks whose nodes check the log within one period. */
  private static final int RANKS_PER_PERIOD = 10;

  private final StateReader reader;
  private final PlatformLog log;
  private final StateHolder holder;
  private final NodeName self;
  private final long periodMillis;
  private final TimeSource time;
  private final EventLog events;
  private long lastCheckedPeriod = -1;

  /**
   * Creates a checkpointer.
   *
   * @param reader reads checkpoints
   * @param log receives checkpoints
   * @param holder provides the newest state
   * @param self this node
   * @param retentionMillis how long the log keeps records, in milliseconds
   * @param time the clock
   * @param events receives a log line for each checkpoint written
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
   * Writes a checkpoint if this node's rank is due and none was written in this period.
   *
   * @param reachable the reachable nodes, this one included
   */
  public void runIfDue(List<NodeName> reachable) {
    long now = time.wallMillis();
    long period = now / periodMillis;
    if (period == lastCheckedPeriod || holder.current().offset() == ClusterState.NO_OFFSET) {
      return;
    }
    int rank = RendezvousHash.rank(period, reachable).indexOf(self);
    long rankDelayMillis = rank * (periodMillis / RANKS_PER_PERIOD);
    if (rank < 0 || now - period * periodMillis < rankDelayMillis) {
      return;
    }
    lastCheckedPeriod = period;
    writeIfMissing(period);
  }

  private void writeIfMissing(long period) {
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
