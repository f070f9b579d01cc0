package org.amaranthmoor.daemon.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.util.function.UnaryOperator;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.Exchange;
import org.amaranthmoor.model.ByteBudget;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.junit.jupiter.api.Test;

/** Guards against bodies on links that fill the heap, and against short ones that end well. */
class FullNodeTests {

  private static final int BODY_BYTES = 2 * CallResponse.MAX_BUFFERED_BYTES;
  private static final byte[] PIECE = new byte[16 * 1024];

  /** Less than one frame of a body. */
  private static final long FEW_BYTES = 1_000;

  private final ByteBudget ample = new ByteBudget(LinkedNodes.UNUSED_BYTES);
  private final ByteBudget scarce = new ByteBudget(FEW_BYTES);

  private static LinkedNodes nodes(ByteBudget entry, ByteBudget target) throws IOException {
    String response =
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
            + Integer.toHexString(BODY_BYTES)
            + "\r\n"
            + "x".repeat(BODY_BYTES)
            + "\r\n0\r\n\r\n";
    return new LinkedNodes(
        LinkedNodes.FrameFilter.NONE,
        LinkedNodes.FrameFilter.NONE,
        response,
        UnaryOperator.identity(),
        entry,
        target);
  }

  @Test
  void anAnswerWithoutRoomFails() throws Exception {
    try (LinkedNodes nodes = nodes(scarce, ample)) {
      if (LinkedNodes.await(nodes.open(true)) instanceof Outcome.Answered<CallResponse> answered
          && answered.response().body() instanceof CallResponse.Body.Streamed streamed) {
        try (var body = streamed.stream()) {
          assertThrows(IOException.class, body::readAllBytes);
        }
      } else {
        fail("no answer");
      }
      assertEquals(0, nodes.heldBytes());
    }
  }

  @Test
  void anUploadWithoutRoomFails() throws Exception {
    try (LinkedNodes nodes = nodes(ample, scarce)) {
      Exchange exchange = nodes.open(false);
      exchange.send(PIECE, false);
      exchange.send(new byte[0], true);

      assertFalse(LinkedNodes.await(exchange) instanceof Outcome.Answered<CallResponse>);
      assertEquals(0, nodes.wholeRequestsAtTarget());
      assertEquals(0, nodes.heldBytes());
    }
  }

  @Test
  void aRequestIsRefusedBeforeTheHandOverWhileThereIsLittleRoom() throws Exception {
    assertTrue(scarce.tryAcquire(FEW_BYTES));
    try (LinkedNodes nodes = nodes(ample, scarce)) {
      Outcome<CallResponse> outcome = LinkedNodes.await(nodes.open(true));

      assertTrue(
          outcome instanceof Outcome.NotRun<CallResponse> notRun
              && notRun.code() == ResultCode.OVERLOADED,
          outcome.toString());
      assertEquals(0, nodes.wholeRequestsAtTarget());
    }
  }

  @Test
  void whatWasReadOrDiscardedIsReleased() throws Exception {
    try (LinkedNodes nodes = nodes(ample, ample)) {
      Exchange read = nodes.open(true);
      if (LinkedNodes.await(read) instanceof Outcome.Answered<CallResponse> answered
          && answered.response().body() instanceof CallResponse.Body.Streamed streamed) {
        assertEquals(BODY_BYTES, streamed.stream().readAllBytes().length);
      }
      Exchange cancelled = nodes.open(true);
      LinkedNodes.await(cancelled);
      cancelled.cancel();

      assertEquals(0, nodes.heldBytes());
    }
  }
}
