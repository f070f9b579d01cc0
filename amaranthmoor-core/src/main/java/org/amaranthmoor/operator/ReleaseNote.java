package org.amaranthmoor.operator;

import java.util.List;
import org.amaranthmoor.model.NoteId;

/**
 * A well-formed release note.
 *
 * <p>Whether it is accepted depends on the cluster state before it. Immutable and safe for use by
 * several threads.
 *
 * @param format the version of the format of the note
 * @param id the id of the note
 * @param changes the items that it adds, changes or withdraws, at least one
 */
public record ReleaseNote(int format, NoteId id, List<NoteChange> changes) {

  /** Newest format of release notes that this build can parse. */
  public static final int NEWEST_FORMAT = 1;

  /** Copies the changes. */
  public ReleaseNote {
    changes = List.copyOf(changes);
  }
}
