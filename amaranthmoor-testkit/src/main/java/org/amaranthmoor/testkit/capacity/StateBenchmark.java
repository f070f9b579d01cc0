package org.amaranthmoor.testkit.capacity;

import java.util.ArrayList;
import java.util.List;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.platform.CheckpointCodec;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.platform.ClusterStateMachine;
import org.amaranthmoor.platform.LogRecords;
import org.amaranthmoor.protocol.platform.Joined;
import org.amaranthmoor.protocol.platform.LogRecord;

/**
 * Measures the fold of log records into a state with many services and nodes, and its checkpoint.
 *
 * <p>Confined to one thread.
 */
final class StateBenchmark {

  private static final int CHANGE_NOTES = 200;

  private StateBenchmark() {}

  /** Cost of a state of one size. */
  record Cost(
      int nodes,
      int services,
      int checkpointBytes,
      double checkpointMillis,
      double foldMicrosPerNote,
      double foldMicrosPerJoin) {}

  static Cost measure(int nodes, int services) {
    ClusterState state = openingState(nodes, services);
    long joinStart = System.nanoTime();
    for (int i = 0; i < nodes; i++) {
      state = fold(state, joinRecord(i));
    }
    double joinMicros = micros(joinStart) / nodes;
    List<LogRecord> notes = changeNotes();
    long foldStart = System.nanoTime();
    for (LogRecord note : notes) {
      state = fold(state, note);
    }
    double foldMicros = micros(foldStart) / notes.size();
    long checkpointStart = System.nanoTime();
    byte[] bytes = CheckpointCodec.write(state, new NodeName("n"), 0);
    double checkpointMillis = micros(checkpointStart) / 1_000;
    return new Cost(nodes, services, bytes.length, checkpointMillis, foldMicros, joinMicros);
  }

  private static double micros(long startNanos) {
    return (System.nanoTime() - startNanos) / 1e3;
  }

  private static ClusterState fold(ClusterState state, LogRecord record) {
    return ClusterStateMachine.apply(state, state.offset() + 1, record.toByteArray());
  }

  private static ClusterState openingState(int nodes, int services) {
    StringBuilder text = new StringBuilder("format: 1\nnote: open\nservices:\n");
    for (int i = 0; i < services; i++) {
      text.append("  - add: s").append(i).append('\n');
    }
    text.append("rules:\n");
    for (int i = 0; i < services; i++) {
      text.append("  - add: r").append(i).append("\n    service: s").append(i);
      text.append("\n    path-prefix: /s").append(i).append('\n');
    }
    text.append("targets:\n");
    for (int i = 0; i < nodes; i++) {
      text.append("  - add: t").append(i);
      text.append("\n    service: s").append(i % services).append('\n');
    }
    text.append("end: open\n");
    return fold(ClusterState.empty(), LogRecords.note(new NoteId("open"), text.toString()));
  }

  private static LogRecord joinRecord(int i) {
    return LogRecords.joined(
        Joined.newBuilder()
            .setNode("node-" + i)
            .setIncarnation(1)
            .setHost("10.0." + i / 250 + "." + i % 250)
            .setPort(7000)
            .setZone("zone-" + i % 14)
            .setRegion("region-" + i % 5)
            .setTarget("t" + i)
            .setSlots(6)
            .build());
  }

  private static List<LogRecord> changeNotes() {
    List<LogRecord> notes = new ArrayList<>();
    String previous = "open";
    for (int i = 0; i < CHANGE_NOTES; i++) {
      String id = "change-" + i;
      String text =
          "format: 1\nnote: "
              + id
              + "\nservices:\n  - change: s0\n    builds-on: "
              + previous
              + "\nend: "
              + id
              + "\n";
      notes.add(LogRecords.note(new NoteId(id), text));
      previous = id;
    }
    return notes;
  }
}
