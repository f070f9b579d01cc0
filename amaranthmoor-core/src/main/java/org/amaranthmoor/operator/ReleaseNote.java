package org.amaranthmoor.operator;

import java.util.List;
import org.amaranthmoor.model.NoteId;

/**
 * A release note that was read without problems.
 *
 * <p>Whether it is accepted depends on the state it meets. Immutable and safe for use by several
 * threads.
 *
 * @param format the version of the note's format
 * @param id the note
 * @param changes what it adds, changes or withdraws, at least one
 */
public record ReleaseNote(int format, NoteId id, List<NoteChange> changes) {

  /** Newest format that this build can read. */
  public static final int NEWEST_FORMAT = 1;

  /** Copies the changes. */
  public ReleaseNote {
    changes = List.copyOf(changes);
  }
}
