package org.amaranthmoor.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.platform.PlatformLog.Entry;
import org.amaranthmoor.platform.PlatformLog.ReadResult;

/**
 * Advances a state to the end of the log, loading a checkpoint where records have expired.
 *
 * <p>Holds no state except the log client. Safe for use by several threads.
 */
public final class StateReader {

  private static final int RECORDS_PER_READ = 256;
  private static final int MAX_CHECKPOINTS_READ = 8;

  private final PlatformLog log;

  /**
   * Creates a reader.
   *
   * @param log the log
   */
  public StateReader(PlatformLog log) {
    this.log = log;
  }

  /** Result of a step. */
  public sealed interface Step {
    /**
     * The state after the step.
     *
     * @param state the state
     * @param contiguous whether every record since the previous state was applied, without loading
     *     a checkpoint
     * @param atEnd whether the log contains no later record
     */
    record Progress(ClusterState state, boolean contiguous, boolean atEnd) implements Step {}

    /**
     * The log did not answer, or contains neither the next records nor a checkpoint that covers
     * them.
     *
     * @param detail the cause, as one line for operators
     */
    record Unavailable(String detail) implements Step {}
  }

  /**
   * Reads records once and applies them, or loads a checkpoint.
   *
   * @param state the current state
   * @param waitMillis how long the log may wait for a record, in milliseconds
   * @return the result
   */
  public Step step(ClusterState state, long waitMillis) {
    if (state.offset() == ClusterState.NO_OFFSET) {
      Optional<ClusterState> checkpoint = newestCheckpoint();
      if (checkpoint.isPresent() && checkpoint.get().offset() > state.offset()) {
        return new Step.Progress(checkpoint.get(), false, false);
      }
    }
    long from = state.offset() + 1;
    return switch (log.read(PlatformLog.MAIN_STREAM, from, RECORDS_PER_READ, waitMillis)) {
      case ReadResult.Records records -> applyAll(state, records);
      case ReadResult.Expired expired -> fromCheckpoint(expired.start());
      case ReadResult.Unavailable unavailable -> new Step.Unavailable(unavailable.detail());
    };
  }

  private static Step applyAll(ClusterState state, ReadResult.Records records) {
    ClusterState next = state;
    for (Entry entry : records.entries()) {
      next = ClusterStateMachine.apply(next, entry.offset(), entry.bytes());
    }
    return new Step.Progress(next, true, next.offset() + 1 >= records.end());
  }

  private Step fromCheckpoint(long start) {
    Optional<ClusterState> checkpoint = newestCheckpoint();
    if (checkpoint.isPresent() && checkpoint.get().offset() + 1 >= start) {
      return new Step.Progress(checkpoint.get(), false, false);
    }
    return new Step.Unavailable(
        "records before offset " + start + " have expired and no checkpoint covers them");
  }

  /**
   * Returns the state with the greatest offset among the most recent checkpoints.
   *
   * <p>Several checkpoints are read because the last one may be corrupt, or may hold an older state
   * if a node was paused before writing it.
   *
   * @return the state, or empty if there is no valid checkpoint or the log does not answer
   */
  public Optional<ClusterState> newestCheckpoint() {
    Optional<ClusterState> newest = Optional.empty();
    for (byte[] bytes : recentCheckpoints(MAX_CHECKPOINTS_READ)) {
      Optional<ClusterState> state = CheckpointCodec.read(bytes);
      long best = newest.map(ClusterState::offset).orElse(ClusterState.NO_OFFSET);
      if (state.isPresent() && state.get().offset() > best) {
        newest = state;
      }
    }
    return newest;
  }

  /**
   * Returns whether the last checkpoint was written in the given period or later.
   *
   * @param period number of the period
   * @return whether it was written then
   */
  public boolean checkpointedSince(long period) {
    return recentCheckpoints(1).stream()
        .anyMatch(bytes -> CheckpointCodec.readPeriod(bytes).filter(p -> p >= period).isPresent());
  }

  private List<byte[]> recentCheckpoints(int maxCheckpoints) {
    List<byte[]> checkpoints = new ArrayList<>();
    Bounds bounds = bounds(log.read(PlatformLog.CHECKPOINT_STREAM, 0, 0, 0));
    long first = Math.max(bounds.start(), bounds.end() - maxCheckpoints);
    for (long offset = first; offset < bounds.end(); offset++) {
      if (log.read(PlatformLog.CHECKPOINT_STREAM, offset, 1, 0)
          instanceof ReadResult.Records records) {
        records.entries().forEach(entry -> checkpoints.add(entry.bytes()));
      }
    }
    return checkpoints;
  }

  private record Bounds(long start, long end) {}

  private static Bounds bounds(ReadResult result) {
    return switch (result) {
      case ReadResult.Records records -> new Bounds(records.start(), records.end());
      case ReadResult.Expired expired -> new Bounds(expired.start(), expired.end());
      case ReadResult.Unavailable unavailable -> new Bounds(0, 0);
    };
  }
}
