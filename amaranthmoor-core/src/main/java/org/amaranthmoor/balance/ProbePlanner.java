package org.amaranthmoor.balance;

import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicLong;
import java.util.random.RandomGenerator;
import org.amaranthmoor.model.TokenBucket;

/**
 * Decides which server to probe for its load, within a budget of probes.
 *
 * <p>Invariant: over any span of t seconds at most {@code burst + rate * t} probes are planned,
 * whatever the rate of calls. Safe for use by several threads.
 */
public final class ProbePlanner {

  /** Age from which a load report is stale and worth a probe, in nanoseconds. */
  static final long STALE_REPORT_NANOS = 50_000_000L;

  private static final int BURST = 2;

  private final TokenBucket budget;
  private final AtomicLong planned = new AtomicLong();
  private final AtomicLong refused = new AtomicLong();

  /**
   * Creates a planner.
   *
   * @param probesPerSecond rate at which the budget is refilled
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
   * @return the server to probe, or empty if the drawn server's report is fresh, the budget is
   *     spent or there is no server
   */
  public Optional<Server> plan(List<Server> servers, long nowNanos, RandomGenerator random) {
    if (servers.isEmpty()) {
      return Optional.empty();
    }
    Server server = servers.get(random.nextInt(servers.size()));
    if (server.stats().reportAgeNanos(nowNanos) < STALE_REPORT_NANOS) {
      return Optional.empty();
    }
    if (!budget.tryAcquire(nowNanos)) {
      refused.incrementAndGet();
      return Optional.empty();
    }
    planned.incrementAndGet();
    return Optional.of(server);
  }

  /** {@return the number of probes that were planned} */
  public long planned() {
    return planned.get();
  }

  /** {@return the number of probes that the budget did not allow} */
  public long refused() {
    return refused.get();
  }
}
