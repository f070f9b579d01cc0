package org.amaranthmoor.report;

import java.util.Set;

/**
 * Selects the log lines of one request, run or configuration version.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface LogFilter {

  /**
   * Selects a request and the nested calls that the target made while running it.
   *
   * @param id the id that the caller gave the request
   */
  record Request(String id) implements LogFilter {}

  /**
   * Selects a run of a target.
   *
   * @param id the id that the target gave its run
   */
  record Run(String id) implements LogFilter {}

  /**
   * Selects a version of the configuration.
   *
   * @param version the number of the version
   */
  record Config(String version) implements LogFilter {}

  /**
   * Events about a version of the configuration. Other events, such as calls, only mention the
   * version and are not selected.
   */
  Set<String> CONFIG_EVENTS = Set.of("config-in-force", "config-unreadable", "config-not-at-peer");

  /**
   * Returns whether the filter selects a line.
   *
   * @param line the line
   * @return whether the line is selected
   */
  default boolean matches(LogLine line) {
    return switch (this) {
      case Request request ->
          line.field("id").equals(request.id()) || line.field("id").startsWith(request.id() + ".");
      case Run run -> line.field("run").equals(run.id());
      case Config config ->
          CONFIG_EVENTS.contains(line.event()) && line.field("version").equals(config.version());
    };
  }
}
