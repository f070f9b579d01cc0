package org.amaranthmoor.balance;

import java.util.List;
import org.amaranthmoor.model.RuleName;

/**
 * Ejects failing servers for a limited time.
 *
 * <p>A server that fails fast looks idle, so failures are counted apart from load. Invariant: at
 * most a third of a service's servers, or one of two, are ejected at once. Each further ejection
 * lasts twice as long. After an ejection the server is on probation: it gets one call at a time
 * until a call succeeds. A server that fails the calls of one rule and serves those of others is
 * ejected for this rule only, under the same conditions. On probation for a rule it gets several
 * calls at a time, because it always has calls of other rules, and is ejected again at the first
 * failure. Stateless and safe for use by several threads.
 */
public final class Ejection {

  /** Share of failed calls above which a server is ejected. */
  static final double MAX_FAILURE_SHARE = 0.5;

  /** Largest share of a service's servers that may be ejected at once. */
  static final double MAX_EJECTED_SHARE = 0.34;

  private static final long FIRST_EJECTION_NANOS = 1_000_000_000L;
  private static final int MAX_DOUBLINGS = 5;

  private Ejection() {}

  /**
   * Records the result of a call whose rule is not known.
   *
   * @param servers the servers of the service
   * @param server the server that answered or failed
   * @param failed whether the call failed
   * @param nowNanos the current time
   */
  public static void afterCall(List<Server> servers, Server server, boolean failed, long nowNanos) {
    afterCall(servers, server, RuleName.NONE, failed, nowNanos);
  }

  /**
   * Records the result of a call: ejects the server if too many of its calls fail, and ends its
   * probation if the call succeeded.
   *
   * @param servers the servers of the service
   * @param server the server that answered or failed
   * @param rule the rule of the call
   * @param failed whether the call failed
   * @param nowNanos the current time
   */
  public static void afterCall(
      List<Server> servers, Server server, RuleName rule, boolean failed, long nowNanos) {
    ServerStats stats = server.stats();
    RuleFailures ofRules = stats.ruleFailures();
    ofRules.afterCall(rule, failed, nowNanos);
    if (!failed) {
      if (stats.onProbation(nowNanos)) {
        stats.endProbation();
      }
      return;
    }
    if (ofRules.servesOtherThan(rule, nowNanos)) {
      ejectForRule(servers, stats, rule, nowNanos);
      return;
    }
    boolean failing = stats.failureShare() > MAX_FAILURE_SHARE || stats.onProbation(nowNanos);
    if (failing && !stats.ejected(nowNanos) && mayEject(servers, nowNanos)) {
      stats.eject(ejectionEndNanos(stats.ejections(), nowNanos));
    }
  }

  private static void ejectForRule(
      List<Server> servers, ServerStats stats, RuleName rule, long nowNanos) {
    RuleFailures ofRules = stats.ruleFailures();
    boolean ejects =
        ofRules.isFailing(rule, nowNanos)
            && !ofRules.ejected(rule, nowNanos)
            && !stats.ejected(nowNanos)
            && mayEject(servers, rule, nowNanos);
    if (ejects) {
      ofRules.eject(rule, ejectionEndNanos(ofRules.ejections(rule), nowNanos));
    }
  }

  private static long ejectionEndNanos(int ejectionsBefore, long nowNanos) {
    return nowNanos + (FIRST_EJECTION_NANOS << Math.min(MAX_DOUBLINGS, ejectionsBefore));
  }

  /** {@return whether calls should go to other servers as long as there are any} */
  static boolean shouldAvoid(ServerStats stats, long nowNanos) {
    return shouldAvoid(stats, RuleName.NONE, nowNanos);
  }

  /** {@return whether calls of a rule should go to other servers as long as there are any} */
  static boolean shouldAvoid(ServerStats stats, RuleName rule, long nowNanos) {
    return stats.ejected(nowNanos)
        || stats.ruleFailures().ejected(rule, nowNanos)
        || (stats.onProbation(nowNanos) && stats.ownInFlight() > 0);
  }

  private static boolean mayEject(List<Server> servers, long nowNanos) {
    return mayEject(servers, RuleName.NONE, nowNanos);
  }

  private static boolean mayEject(List<Server> servers, RuleName rule, long nowNanos) {
    long ejected =
        servers.stream()
            .map(Server::stats)
            .filter(s -> s.ejected(nowNanos) || s.ruleFailures().ejected(rule, nowNanos))
            .count();
    long maxEjected = Math.max(1, (long) (servers.size() * MAX_EJECTED_SHARE));
    return servers.size() > 1 && ejected < maxEjected;
  }
}
