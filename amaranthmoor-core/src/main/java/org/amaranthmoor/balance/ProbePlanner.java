package org.amaranthmoor.balance;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.amaranthmoor.model.TokenBucket;

/**
 * Decides which server to ask for its load, and pays for it from a budget.
 *
 * <p>Invariant: over any span of t seconds at most {@code burst + rate * t} probes are planned,
 * whatever the rate of calls. Safe for use by several threads.
 */
public final class ProbePlanner {

  /** Age beyond which a report is worth a probe, in nanoseconds. */
  static final long STALE_REPORT_NANOS = 50_000_000L;

  private static final int BURST = 2;

  private final TokenBucket budget;
  private final AtomicLong planned = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();

  /**
   * Creates a planner.
   *
   * @param probesPerSecond the budget
   * @param nowNanos the current time
   */
  public ProbePlanner(double probesPerSecond, long nowNanos) {
    this.budget = new TokenBucket(probesPerSecond, BURST, nowNanos);
  }

  /**
   * Plans at most one probe, after a call was sent.
   *
   * @param servers the servers of the service
   * @param nowNanos the current time
   * @param random source of randomness
   * @return the server to probe, or empty if none is worth it or the budget is spent
   */
  public Optional<Server> plan(List<Server> servers, long nowNanos, RandomGenerator random) {
    if (servers.isEmpty()) {
      return Optional.empty();
    }
    Server server = servers.get(random.nextInt(servers.size()));
    if (server.stats().reportAgeNanos(nowNanos) < STALE_REPORT_NANOS) {
      return Optional.empty();
    }
    if (!budget.tryTake(nowNanos)) {
      refused.incrementAndGet();
      return Optional.empty();
    }
    planned.incrementAndGet();
    return Optional.of(server);
  }

  /** {@return how many probes were planned} */
  public long planned() {
    return planned.get();
  }

  /** {@return how many probes the budget did not allow} */
  public long refused() {
    return refused.get();
  }
}
