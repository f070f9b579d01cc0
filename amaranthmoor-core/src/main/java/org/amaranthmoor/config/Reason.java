package org.amaranthmoor.config;

/**
 * Why a release note was refused.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param code the kind of the reason
 * @param item the affected item, such as {@code rule lending}, or an empty text for the whole note
 * @param line the line in the note, counted from 1
 * @param message what was found and what was expected
 */
public record Reason(Code code, String item, int line, String message) {

  /** Kinds of reasons, numbered in docs/RESULT-CODES.md. */
  public enum Code {
    /** The note is not valid YAML, or a key or value is wrong. */
    MALFORMED(601),
    /** The end mark of the note is missing, so the note may be truncated. */
    TRUNCATED(602),
    /** The format of the note is newer than the cluster state allows. */
    FORMAT(603),
    /** The note is based on a revision of an item that another note has changed since. */
    CONFLICT(604),
    /** The note adds an item that already exists. */
    EXISTS(605),
    /** The note changes or withdraws an item that does not exist. */
    ABSENT(606),
    /** The note contains two changes of the same item. */
    CONTRADICTION(607),
    /** A rule or target refers to a service that does not exist. */
    DANGLING(608),
    /** A service that a rule routes calls to would have no target. */
    STRANDED(609),
    /** The note withdraws too large a share of a service's targets at once. */
    WITHDRAWS_TOO_MANY(610),
    /** Two rules would match the same host and path prefix. */
    AMBIGUOUS(611),
    /** The log already contains another note with this id. */
    ID_TAKEN(612);

    private final int number;

    Code(int number) {
      this.number = number;
    }

    /** {@return the number that is shown to operators} */
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
   * Formats the reason as one line.
   *
   * @return the text
   */
  public String render() {
    String subject = item.isEmpty() ? "" : item + ": ";
    return "line " + line + ": " + subject + message + " (" + code.number() + " " + code + ")";
  }
}
