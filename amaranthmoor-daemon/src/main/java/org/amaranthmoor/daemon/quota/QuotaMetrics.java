package org.amaranthmoor.daemon.quota;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.atomic.LongAdder;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.model.TeamName;

/**
 * Counts the requests of teams with a quota. The first teams seen are counted by name and all
 * others together, so that the number of series is bounded. A team whose name is the label of the
 * others is counted with them.
 *
 * <p>Safe for use by several threads.
 */
final class QuotaMetrics {

  /** Largest number of teams that are counted by name. */
  static final int MAX_NAMED_TEAMS = 50;

  private static final String OTHER = "other";

  /** What became of a request. */
  enum Result {
    GRANTED("granted"),
    EXCEEDED("exceeded"),
    OWNER_UNREACHABLE("owner-unreachable");

    private final String label;

    Result(String label) {
      this.label = label;
    }

    String label() {
      return label;
    }
  }

  private final NodeMetrics metrics;
  private final Map<TeamName, Map<Result, LongAdder>> named = new HashMap<>();
  private Map<Result, LongAdder> others = Map.of();

  QuotaMetrics(NodeMetrics metrics) {
    this.metrics = metrics;
  }

  void count(TeamName team, Result result) {
    counters(team).get(result).increment();
  }

  private synchronized Map<Result, LongAdder> counters(TeamName team) {
    Map<Result, LongAdder> known = named.get(team);
    if (known != null) {
      return known;
    }
    if (named.size() < MAX_NAMED_TEAMS && !team.value().equals(OTHER)) {
      Map<Result, LongAdder> created = create(team.value());
      named.put(team, created);
      return created;
    }
    if (others.isEmpty()) {
      others = create(OTHER);
    }
    return others;
  }

  private Map<Result, LongAdder> create(String label) {
    Map<Result, LongAdder> created = new HashMap<>();
    for (Result result : Result.values()) {
      LongAdder count = new LongAdder();
      created.put(result, count);
      metrics.registerCounter(
          "amaranthmoor.quota.requests",
          "Requests of teams with a quota, by what the quota decided",
          count::sum,
          "team",
          label,
          "result",
          result.label());
    }
    return Map.copyOf(created);
  }
}
