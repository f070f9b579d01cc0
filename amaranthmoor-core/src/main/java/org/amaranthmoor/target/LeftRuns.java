package org.amaranthmoor.target;

import java.util.ArrayList;
import java.util.List;

/**
 * The newest runs of a target that have left.
 *
 * <p>Invariant: at most {@link #MAX_RUNS} runs; a run matters only while its reports may still be
 * in transit. Safe for use by several threads.
 */
public final class LeftRuns {

  /** Largest number of runs; beyond it, the run that was added first is dropped. */
  public static final int MAX_RUNS = 4;

  private final List<TargetRun> runs = new ArrayList<>();

  /** Creates an empty collection. */
  public LeftRuns() {}

  /**
   * Adds a run as the newest.
   *
   * @param run the run
   * @return whether it was not yet contained
   */
  public synchronized boolean add(TargetRun run) {
    if (runs.contains(run)) {
      return false;
    }
    runs.add(run);
    if (runs.size() > MAX_RUNS) {
      runs.removeFirst();
    }
    return true;
  }

  /**
   * Adds runs that left before those already contained, as far as there is room.
   *
   * @param earlier the runs, newest last
   */
  public synchronized void addEarlier(List<TargetRun> earlier) {
    for (TargetRun run : earlier.reversed()) {
      if (!runs.contains(run) && runs.size() < MAX_RUNS) {
        runs.addFirst(run);
      }
    }
  }

  /** {@return the runs, newest last} */
  public synchronized List<TargetRun> list() {
    return List.copyOf(runs);
  }
}
