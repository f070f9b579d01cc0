package org.amaranthmoor.platform;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.platform.PlatformLog.Entry;
import org.amaranthmoor.platform.PlatformLog.ReadResult;

/**
 * Brings a state up to the end of the log, by checkpoints where records have lapsed.
 *
 * <p>Stateless but for the log; safe for use by several threads.
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

  /** Result of one step. */
  public sealed interface Step {
    /**
     * The state after the step.
     *
     * @param state the state
     * @param contiguous whether every record since the last state was folded
     * @param atEnd whether the log held no later record
     */
    record Progress(ClusterState state, boolean contiguous, boolean atEnd) implements Step {}

    /**
     * The log did not answer, or has neither the records nor a checkpoint.
     *
     * @param detail one line for people
     */
    record Unavailable(String detail) implements Step {}
  }

  /**
   * Reads once and folds what was read.
   *
   * @param state the state so far
   * @param waitMillis how long the log may wait for a record, in milliseconds
   * @return the state after it
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
        "records before offset " + start + " have lapsed and no checkpoint covers them");
  }

  /**
   * Finds the checkpoint with the greatest offset among the newest few.
   *
   * <p>A checkpoint written late by a node that was paused, or one that is damaged, is passed over.
   *
   * @return the state, or empty if there is none or the log does not answer
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
   * Returns whether the newest checkpoint was written in a period or later.
   *
   * @param period number of the period
   * @return whether it is that new
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
