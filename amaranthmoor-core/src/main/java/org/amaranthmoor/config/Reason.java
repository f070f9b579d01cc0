package org.amaranthmoor.config;

/**
 * Why a release note was refused.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param code what kind of reason
 * @param item the item concerned, such as {@code rule lending}, or an empty text
 * @param line line of the note, counted from 1
 * @param message what was found and what is allowed
 */
public record Reason(Code code, String item, int line, String message) {

  /** Kinds of reasons, numbered in docs/RESULT-CODES.md. */
  public enum Code {
    /** The note is not valid YAML, or a key or value is wrong. */
    MALFORMED(601),
    /** The note lacks its end mark. */
    TRUNCATED(602),
    /** The note is of a format that the state does not allow. */
    FORMAT(603),
    /** The note changes an item that another note changed first. */
    CONFLICT(604),
    /** The note adds an item that exists. */
    EXISTS(605),
    /** The note changes or withdraws an item that does not exist. */
    ABSENT(606),
    /** The note names one item twice. */
    CONTRADICTION(607),
    /** A rule or target refers to a service that does not exist. */
    DANGLING(608),
    /** A service that a rule sends calls to would have no target. */
    STRANDED(609),
    /** The note withdraws too large a share of a service's targets at once. */
    WITHDRAWS_TOO_MANY(610),
    /** Two rules would match the same requests. */
    AMBIGUOUS(611),
    /** A note with this id and another text stands in the log already. */
    ID_TAKEN(612);

    private final int number;

    Code(int number) {
      this.number = number;
    }

    /** {@return the number that operators see} */
    public int number() {
      return number;
    }

    /**
     * Finds a code by its number.
     *
     * @param number the number
     * @return the code
     * @throws IllegalArgumentException if no code has that number
     */
    public static Code of(int number) {
      for (Code code : values()) {
        if (code.number == number) {
          return code;
        }
      }
      throw new IllegalArgumentException("no reason code has the number " + number);
    }
  }

  /**
   * Renders the reason as one line.
   *
   * @return the text
   */
  public String render() {
    String subject = item.isEmpty() ? "" : item + ": ";
    return "line " + line + ": " + subject + message + " (" + code.number() + " " + code + ")";
  }
}
