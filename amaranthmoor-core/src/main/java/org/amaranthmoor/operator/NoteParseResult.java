package org.amaranthmoor.operator;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.config.Reason;
import org.amaranthmoor.model.NoteId;

/**
 * Result of parsing the text of a release note.
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
   * @param id the id of the note, if it could be parsed
   * @param reasons the reasons, at least one
   */
  record Invalid(Optional<NoteId> id, List<Reason> reasons) implements NoteParseResult {
    /** Copies the reasons, sorted by line. */
    public Invalid {
      reasons = reasons.stream().sorted(Comparator.comparingInt(Reason::line)).toList();
    }
  }
}
