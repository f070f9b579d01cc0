package org.amaranthmoor.platform;

import java.util.List;
import org.amaranthmoor.config.Reason;
import org.amaranthmoor.model.NoteId;

/**
 * What became of a release note, the same at every node.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface Verdict {

  /** {@return the note} */
  NoteId note();

  /** {@return the log offset of the note} */
  long offset();

  /**
   * The note is part of the state.
   *
   * @param note the note
   * @param offset its log offset
   */
  record Accepted(NoteId note, long offset) implements Verdict {}

  /**
   * The note changed nothing.
   *
   * @param note the note
   * @param offset its log offset
   * @param reasons why, at least one
   */
  record Refused(NoteId note, long offset, List<Reason> reasons) implements Verdict {
    /** Copies the reasons. */
    public Refused {
      reasons = List.copyOf(reasons);
    }
  }
}
