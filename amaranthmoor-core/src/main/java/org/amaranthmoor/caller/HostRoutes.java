package org.amaranthmoor.caller;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeSet;
import java.util.function.DoubleSupplier;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.RuleName;

/**
 * Routes by host and longest path prefix, with rules that may split requests over services.
 *
 * <p>Finding a route takes at most one look-up for each length that the prefixes of a host have,
 * whatever the number of rules and of segments of the path. Immutable; safe for use by several
 * threads if the source of randomness is.
 */
public final class HostRoutes implements Router {

  /**
   * A service that gets a share of the requests of a rule.
   *
   * @param service the service
   * @param weight its share, relative to the other weights of the rule; greater than 0
   */
  public record WeightedService(ServiceSpec service, int weight) {}

  /**
   * A rule.
   *
   * @param name the rule
   * @param host the host in lower case, without a port
   * @param pathPrefix prefix of the path; starts and ends with a slash
   * @param split services among which its requests are split by weight, at least one
   * @param idempotent whether its requests may be run again
   * @param priority order in which its requests get a slot
   * @param timeoutMillis longest time a caller is kept waiting, in milliseconds
   * @param objectiveMillis time within which an answer counts as in time, in milliseconds
   * @param maxAttempts most targets that one request may be sent to, at least 1
   * @param open whether callers need no key of a team
   */
  public record Rule(
      RuleName name,
      String host,
      String pathPrefix,
      List<WeightedService> split,
      boolean idempotent,
      Priority priority,
      int timeoutMillis,
      int objectiveMillis,
      int maxAttempts,
      boolean open) {
    /** Copies the split. */
    public Rule {
      split = List.copyOf(split);
    }
  }

  /** The rules of a host, by prefix. */
  private static final class HostRules {
    private final Map<String, Rule> byPrefix = new HashMap<>();
    private final NavigableSet<Integer> prefixLengths = new TreeSet<>();

    private void add(Rule rule) {
      byPrefix.put(rule.pathPrefix(), rule);
      prefixLengths.add(rule.pathPrefix().length());
    }

    // A caller decides how many segments a path has, but not how many lengths are tried.
    private Optional<Rule> longestMatch(String path) {
      for (int length : prefixLengths.headSet(path.length(), true).descendingSet()) {
        Rule rule = path.charAt(length - 1) == '/' ? byPrefix.get(path.substring(0, length)) : null;
        if (rule != null) {
          return Optional.of(rule);
        }
      }
      return Optional.empty();
    }
  }

  private final Map<String, HostRules> byHost = new HashMap<>();
  private final DoubleSupplier random;

  /**
   * Creates a table.
   *
   * @param rules the rules
   * @param random supplies numbers from 0 (inclusive) to 1 (exclusive) for picks by weight
   */
  public HostRoutes(Iterable<Rule> rules, DoubleSupplier random) {
    for (Rule rule : rules) {
      byHost.computeIfAbsent(rule.host(), host -> new HostRules()).add(rule);
    }
    this.random = random;
  }

  /** {@return the number of rules} */
  public int size() {
    return byHost.values().stream().mapToInt(rules -> rules.byPrefix.size()).sum();
  }

  @Override
  public Optional<Route> find(String method, String host, String path) {
    return Optional.ofNullable(byHost.get(Router.normalizedHost(host)))
        .flatMap(rules -> rules.longestMatch(Router.pathWithoutQuery(path)))
        .map(this::route);
  }

  private Route route(Rule rule) {
    return new Route(
        rule.name(),
        pickByWeight(rule.split()),
        rule.idempotent(),
        rule.priority(),
        rule.timeoutMillis(),
        rule.timeoutMillis(),
        rule.objectiveMillis(),
        rule.maxAttempts(),
        rule.open());
  }

  private ServiceSpec pickByWeight(List<WeightedService> split) {
    if (split.size() == 1) {
      return split.getFirst().service();
    }
    double remaining =
        random.getAsDouble() * split.stream().mapToInt(WeightedService::weight).sum();
    for (WeightedService weighted : split) {
      remaining -= weighted.weight();
      if (remaining < 0) {
        return weighted.service();
      }
    }
    return split.getLast().service();
  }
}
