package org.amaranthmoor.testing;

import java.util.ArrayList;
import java.util.List;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.platform.ClusterStateMachine;
import org.amaranthmoor.platform.LogRecords;
import org.amaranthmoor.protocol.platform.Joined;
import org.amaranthmoor.protocol.platform.LogRecord;

/** Builds release notes, log records and cluster states for tests. */
public final class Notes {

  private Notes() {}

  /**
   * Returns a note that adds a service, a rule, and targets named SERVICE-1, SERVICE-2 and so on.
   */
  public static String addServiceNote(String note, String service, int targets) {
    List<String> lines = new ArrayList<>();
    lines.add("format: 1");
    lines.add("note: " + note);
    lines.add("services:");
    lines.add("  - add: " + service);
    lines.add("rules:");
    lines.add("  - add: " + service);
    lines.add("    service: " + service);
    lines.add("    path-prefix: /" + service);
    lines.add("targets:");
    for (int i = 1; i <= targets; i++) {
      lines.add("  - add: " + service + "-" + i);
      lines.add("    service: " + service);
    }
    lines.add("end: " + note);
    return String.join("\n", lines) + "\n";
  }

  /** Returns a note with its header, the given lines and its end marker. */
  public static String note(String id, String... lines) {
    return "format: 1\nnote: " + id + "\n" + String.join("\n", lines) + "\nend: " + id + "\n";
  }

  /** Applies records in order, from offset 0 to the empty state. */
  public static ClusterState fold(LogRecord... records) {
    ClusterState state = ClusterState.empty();
    for (LogRecord record : records) {
      state = ClusterStateMachine.apply(state, state.offset() + 1, record.toByteArray());
    }
    return state;
  }

  /** Applies one more record at the next offset. */
  public static ClusterState apply(ClusterState state, LogRecord record) {
    return ClusterStateMachine.apply(state, state.offset() + 1, record.toByteArray());
  }

  /** Returns the log record that publishes a note. */
  public static LogRecord noteRecord(String id, String text) {
    return LogRecords.note(new NoteId(id), text);
  }

  /** Returns the log record by which the node of a target announces itself. */
  public static LogRecord joinedRecord(String node, long incarnation, String target) {
    return LogRecords.joined(
        Joined.newBuilder()
            .setNode(node)
            .setIncarnation(incarnation)
            .setHost("127.0.0.1")
            .setPort(9000)
            .setZone("kochi")
            .setRegion("kerala")
            .setTarget(target)
            .setSlots(6)
            .build());
  }
}
