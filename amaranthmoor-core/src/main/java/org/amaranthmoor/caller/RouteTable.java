package org.amaranthmoor.caller;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.amaranthmoor.config.CallKind;
import org.amaranthmoor.config.RuleSpec;
import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.operator.NoteParser;

/**
 * Finds the route of a request.
 *
 * <p>A rule for the request's host takes precedence over one for any host; among rules of equal
 * precedence the longest path prefix wins. A prefix matches whole path segments. Immutable and safe
 * for use by several threads.
 */
public final class RouteTable implements Router {

  /** Longest deadline that is accepted from a caller, in milliseconds. */
  private static final int MAX_DEADLINE_MILLIS = 3_600_000;

  private static final Comparator<RuleSpec> MOST_SPECIFIC_FIRST =
      Comparator.comparing((RuleSpec rule) -> rule.host().isEmpty())
          .thenComparing(
              Comparator.comparingInt((RuleSpec rule) -> rule.pathPrefix().length()).reversed());

  private final List<RuleSpec> rules;
  private final Map<ServiceName, ServiceSpec> services;

  /**
   * Creates a table.
   *
   * @param rules the rules
   * @param services the services
   */
  public RouteTable(Iterable<RuleSpec> rules, Map<ServiceName, ServiceSpec> services) {
    List<RuleSpec> sorted = new java.util.ArrayList<>();
    rules.forEach(sorted::add);
    sorted.sort(MOST_SPECIFIC_FIRST);
    this.rules = List.copyOf(sorted);
    this.services = Map.copyOf(services);
  }

  @Override
  public Optional<Route> find(String method, String host, String path) {
    String normalizedHost = Router.normalizedHost(host);
    String pathWithoutQuery = Router.pathWithoutQuery(path);
    for (RuleSpec rule : rules) {
      if (matches(rule, normalizedHost, pathWithoutQuery)) {
        return Optional.of(
            toRoute(rule, method, relativePath(rule.pathPrefix(), pathWithoutQuery)));
      }
    }
    return Optional.empty();
  }

  private static boolean matches(RuleSpec rule, String host, String path) {
    boolean hostMatches = rule.host().isEmpty() || rule.host().equals(host);
    return hostMatches && hasPrefix(path, rule.pathPrefix());
  }

  private static boolean hasPrefix(String path, String prefix) {
    if (!path.startsWith(prefix)) {
      return false;
    }
    boolean wholeSegment = prefix.endsWith("/") || path.length() == prefix.length();
    return wholeSegment || path.charAt(prefix.length()) == '/';
  }

  private static String relativePath(String prefix, String path) {
    String rest = path.substring(prefix.length());
    return rest.startsWith("/") ? rest : "/" + rest;
  }

  private Route toRoute(RuleSpec rule, String method, String path) {
    ServiceSpec service = services.get(rule.service());
    for (CallKind kind : rule.calls()) {
      if (kind.matches(method, path)) {
        int deadline =
            kind.deadlineMillis() > 0 ? kind.deadlineMillis() : service.defaultDeadlineMillis();
        return route(rule, service, kind.idempotent(), kind.priority(), deadline);
      }
    }
    boolean idempotent = NoteParser.isIdempotentByDefault(method);
    return route(rule, service, idempotent, Priority.NORMAL, service.defaultDeadlineMillis());
  }

  private static Route route(
      RuleSpec rule,
      ServiceSpec service,
      boolean idempotent,
      Priority priority,
      int deadlineMillis) {
    return new Route(
        rule.name(),
        service,
        idempotent,
        priority,
        deadlineMillis,
        MAX_DEADLINE_MILLIS,
        service.latencyObjectiveMillis(),
        RetryPolicy.DEFAULT_MAX_ATTEMPTS,
        true);
  }
}
