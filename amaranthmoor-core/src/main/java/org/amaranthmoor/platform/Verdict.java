package org.amaranthmoor.platform;

import java.util.List;
import org.amaranthmoor.config.Reason;
import org.amaranthmoor.model.NoteId;

/**
 * Whether a release note was accepted or refused. All nodes reach the same verdict.
 *
 * <p>Immutable and safe for use by several threads.
 */
public sealed interface Verdict {

  /** {@return the id of the note} */
  NoteId note();

  /** {@return the log offset of the note} */
  long offset();

  /**
   * The note was accepted and its changes are part of the state.
   *
   * @param note the id of the note
   * @param offset its log offset
   */
  record Accepted(NoteId note, long offset) implements Verdict {}

  /**
   * The note was refused and changed nothing.
   *
   * @param note the id of the note
   * @param offset its log offset
   * @param reasons the reasons, at least one
   */
  record Refused(NoteId note, long offset, List<Reason> reasons) implements Verdict {
    /** Copies the reasons. */
    public Refused {
      reasons = List.copyOf(reasons);
    }
  }
}
