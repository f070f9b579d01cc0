package org.amaranthmoor.model;

import java.util.Locale;
import java.util.Optional;

/**
 * Priority of queued requests for a slot; an earlier constant goes first.
 *
 * <p>Immutable and safe for use by several threads.
 */
public enum Priority {
  /** Reservations, waivers, confirmations, clearances and uploads. */
  CRITICAL,
  /** Requests without a stated priority. */
  NORMAL,
  /** Catalogue pages and other reads that can wait. */
  BROWSE;

  /**
   * Finds a priority by its name in release notes.
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

  /** {@return the lower-case name in release notes} */
  public String text() {
    return name().toLowerCase(Locale.ROOT);
  }
}
