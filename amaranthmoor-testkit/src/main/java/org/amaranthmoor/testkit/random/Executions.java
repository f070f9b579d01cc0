package org.amaranthmoor.testkit.random;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.amaranthmoor.model.IdempotencyKey;

/**
 * Records the executions at targets and the attempts that were reported to callers as not run.
 *
 * <p>Invariants, checked at each step: a key runs at most once; an attempt that is reported as not
 * run never runs, before or after the report. Confined to one thread.
 */
final class Executions {

  /** Thrown when an invariant is violated. */
  static final class ViolationException extends RuntimeException {
    private static final long serialVersionUID = 1L;

    ViolationException(String message) {
      super(message);
    }
  }

  private final Map<IdempotencyKey, List<String>> byKey = new HashMap<>();
  private final Set<Long> ran = new HashSet<>();
  private final Set<Long> reportedNotRun = new HashSet<>();

  void onRun(IdempotencyKey key, long attempt, String where) {
    List<String> locations = byKey.computeIfAbsent(key, k -> new ArrayList<>());
    locations.add(where);
    ran.add(attempt);
    if (locations.size() > 1) {
      throw new ViolationException("key " + key + " ran more than once, on the nodes " + locations);
    }
    checkReport(attempt);
  }

  void onReportedNotRun(long attempt) {
    reportedNotRun.add(attempt);
    checkReport(attempt);
  }

  private void checkReport(long attempt) {
    if (ran.contains(attempt) && reportedNotRun.contains(attempt)) {
      throw new ViolationException("attempt " + attempt + " was reported as not run, but it ran");
    }
  }

  int total() {
    return ran.size();
  }
}
