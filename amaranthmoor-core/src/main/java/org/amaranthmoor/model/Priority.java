package org.amaranthmoor.model;

import java.util.Locale;
import java.util.Optional;

/**
 * Order in which queued requests get a slot; an earlier constant goes first.
 *
 * <p>Immutable and safe for use by several threads.
 */
public enum Priority {
  /** Reservations, waivers, confirmations, clearances and uploads. */
  CRITICAL,
  /** Requests of no stated kind. */
  NORMAL,
  /** Catalogue pages and other reads that may wait. */
  BROWSE;

  /**
   * Finds a priority by the name release notes use.
   *
   * @param text the lower-case name
   * @return the priority, or empty if no priority has that name
   */
  public static Optional<Priority> parse(String text) {
    for (Priority priority : values()) {
      if (priority.text().equals(text)) {
        return Optional.of(priority);
      }
    }
    return Optional.empty();
  }

  /** {@return the name that release notes use} */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
