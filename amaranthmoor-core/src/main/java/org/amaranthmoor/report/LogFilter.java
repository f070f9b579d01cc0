package org.amaranthmoor.report;

import java.util.Set;

/** What a story from the logs is about. Immutable and safe for use by several threads. */
public sealed interface LogFilter {

  /**
   * A request, with the calls that it made while it ran.
   *
   * @param id the caller's id of the request
   */
  record Request(String id) implements LogFilter {}

  /**
   * A run of a target.
   *
   * @param id the target's id of its run
   */
  record Run(String id) implements LogFilter {}

  /**
   * A version of the configuration.
   *
   * @param version its number
   */
  record Config(String version) implements LogFilter {}

  /** Events that tell of a version of the configuration; calls only mention it. */
  Set<String> CONFIG_EVENTS = Set.of("config-in-force", "config-unreadable", "config-not-at-peer");

  /**
   * Returns whether a line belongs to the story.
   *
   * @param line the line
   * @return whether it is about this subject
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
