package org.amaranthmoor.daemon.node;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import com.google.protobuf.InvalidProtocolBufferException;
import java.io.IOException;
import org.amaranthmoor.daemon.exchange.BodyPipe;
import org.amaranthmoor.daemon.exchange.Deadline;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.protocol.node.Data;
import org.amaranthmoor.protocol.node.Frame;
import org.junit.jupiter.api.Test;

/** Guards against a short body that ends well, and against a whole one that does not. */
class ReceivedBodyTests {

  private static final TimeSource TIME = TimeSource.system();
  private static final byte[] PIECE = {1, 2, 3};

  private final BodyPipe pipe =
      new BodyPipe(100, new Deadline(TIME.nanos() + 10_000_000_000L, TIME), bytes -> {});
  private final ReceivedBody body = new ReceivedBody(pipe);

  // As it arrives, so that a field that the receiver does not know is kept as such.
  private void receive(Frame frame) throws InvalidProtocolBufferException {
    body.onData(Frame.parseFrom(frame.toByteArray()).getData());
  }

  @Test
  void aBodyOfTheStatedLengthIsWhole() throws IOException {
    receive(Frames.data(1, PIECE));
    receive(Frames.lastData(1, PIECE, 2L * PIECE.length));

    assertEquals(2 * PIECE.length, pipe.readAllBytes().length);
  }

  @Test
  void anEmptyBodyIsWhole() throws IOException {
    receive(Frames.lastData(1, new byte[0], 0));

    assertEquals(0, pipe.readAllBytes().length);
  }

  @Test
  void aBodyShorterThanStatedFails() throws IOException {
    receive(Frames.lastData(1, PIECE, 2L * PIECE.length));

    assertThrows(IOException.class, pipe::readAllBytes);
  }

  @Test
  void aBodyOfAnEarlierBuildIsWhole() throws IOException {
    Data last = Frames.lastData(1, PIECE, 0).getData();
    Data earlier = last.toBuilder().clearTotalBytes().build();
    receive(Frame.newBuilder().setData(earlier).build());

    assertArrayEquals(PIECE, pipe.readAllBytes());
  }
}
