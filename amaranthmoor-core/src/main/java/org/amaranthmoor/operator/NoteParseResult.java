package org.amaranthmoor.operator;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.config.Reason;
import org.amaranthmoor.model.NoteId;

/**
 * Result of reading a release note's text.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface NoteParseResult {

  /**
   * The text is a well-formed note.
   *
   * @param note the note
   */
  record Valid(ReleaseNote note) implements NoteParseResult {}

  /**
   * The text is not a well-formed note.
   *
   * @param id the note's id, if that could be read
   * @param reasons why, at least one
   */
  record Invalid(Optional<NoteId> id, List<Reason> reasons) implements NoteParseResult {
    /** Copies the reasons in order of lines. */
    public Invalid {
      reasons = reasons.stream().sorted(Comparator.comparingInt(Reason::line)).toList();
    }
  }
}
