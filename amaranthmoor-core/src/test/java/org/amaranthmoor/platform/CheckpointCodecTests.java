package org.amaranthmoor.platform;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.Optional;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.testing.Notes;
import org.junit.jupiter.api.Test;

class CheckpointCodecTests {

  private static final NodeName WRITER = new NodeName("n1");

  private static ClusterState state() {
    ClusterState state =
        Notes.fold(
            Notes.noteRecord("first", Notes.addServiceNote("first", "lending", 3)),
            Notes.joinedRecord("n1", 1, "lending-1"));
    return Notes.apply(state, Notes.noteRecord("bad", Notes.note("bad", "services: 1")));
  }

  @Test
  void readsBackAWrittenCheckpoint() {
    assertEquals(
        Optional.of(state()), CheckpointCodec.read(CheckpointCodec.write(state(), WRITER, 4)));
  }

  @Test
  void equalStatesGiveEqualBytes() {
    assertArrayEquals(
        CheckpointCodec.write(state(), WRITER, 4), CheckpointCodec.write(state(), WRITER, 4));
  }

  @Test
  void rejectsACheckpointWithADamagedByteOrReadsTheSameState() {
    byte[] intact = CheckpointCodec.write(state(), WRITER, 4);
    for (int i = 0; i < intact.length; i++) {
      byte[] damaged = intact.clone();
      damaged[i] ^= 0x20;
      Optional<ClusterState> read = CheckpointCodec.read(damaged);
      if (read.isPresent()) {
        assertEquals(state(), read.get(), "byte " + i);
      }
    }
  }

  @Test
  void readsThePeriod() {
    assertEquals(
        Optional.of(4L), CheckpointCodec.readPeriod(CheckpointCodec.write(state(), WRITER, 4)));
  }
}
