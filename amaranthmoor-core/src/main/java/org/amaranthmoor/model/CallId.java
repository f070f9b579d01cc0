package org.amaranthmoor.model;

/**
 * Identifies one attempt of a caller, by an id that the caller chose.
 *
 * <p>Invariant: at most {@value #MAX_LENGTH} characters; empty if the caller gave no id. Immutable
 * and safe for use by several threads.
 *
 * @param value the text of the id
 */
public record CallId(String value) {

  /** Longest id, in characters. */
  public static final int MAX_LENGTH = 256;

  /** Id of a call whose caller gave none. */
  public static final CallId NONE = new CallId("");

  /**
   * Checks the length of the id.
   *
   * @throws IllegalArgumentException if the text is too long
   */
  public CallId {
    if (value.length() > MAX_LENGTH) {
      throw new IllegalArgumentException(
          "call id must have at most " + MAX_LENGTH + " characters, but has: " + value.length());
    }
  }

  @Override
  public String toString() {
    return value;
  }
}
