package org.amaranthmoor.model;

/**
 * Identifies a release note.
 *
 * <p>Invariant: 1 to 64 letters, digits, dots, underscores or hyphens, starting with a letter or
 * digit. Immutable and safe for use by several threads.
 *
 * @param value the text of the id
 */
public record NoteId(String value) implements Comparable<NoteId> {

  /**
   * Checks the text.
   *
   * @throws IllegalArgumentException if the text is not a valid name
   */
  public NoteId {
    Names.requireName("release note id", value);
  }

  @Override
  public int compareTo(NoteId other) {
    return value.compareTo(other.value);
  }

  @Override
  public String toString() {
    return value;
  }
}
