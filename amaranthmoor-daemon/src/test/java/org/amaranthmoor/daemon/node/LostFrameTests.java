package org.amaranthmoor.daemon.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.fail;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicInteger;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.Exchange;
import org.amaranthmoor.model.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/** Guards against a body that is taken for whole although a frame of it was lost. */
class LostFrameTests {

  /** Longer than what a target side buffers, and within the window of a stream. */
  private static final int BODY_BYTES = CallResponse.MAX_BUFFERED_BYTES + 3 * 16 * 1024;

  private static final int UPLOAD_FRAMES = 4;
  private static final byte[] UPLOAD_PIECE = new byte[16 * 1024];

  /** How a frame is lost. */
  enum Loss {
    /** The receiver can't decode it. */
    UNDECODABLE,
    /** The receiver never gets it. */
    DROPPED
  }

  // Loses the second frame that carries bytes of a body.
  private static LinkedNodes.FrameFilter lose(Loss loss) {
    AtomicInteger count = new AtomicInteger();
    return (frame, bytes) -> {
      boolean lost = !frame.getData().getBytes().isEmpty() && count.incrementAndGet() == 2;
      if (!lost) {
        return Optional.of(bytes);
      }
      return switch (loss) {
        case UNDECODABLE -> Optional.of(new byte[] {-1, -1, -1});
        case DROPPED -> Optional.empty();
      };
    };
  }

  private static String chunkedResponse() {
    return "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
        + Integer.toHexString(BODY_BYTES)
        + "\r\n"
        + "x".repeat(BODY_BYTES)
        + "\r\n0\r\n\r\n";
  }

  private static CallResponse.Body.Streamed streamedBody(Outcome<CallResponse> outcome) {
    if (outcome instanceof Outcome.Answered<CallResponse> answered) {
      return assertInstanceOf(CallResponse.Body.Streamed.class, answered.response().body());
    }
    return fail(outcome.toString());
  }

  @Test
  void anAnswerAndAnUploadArriveWhole() throws Exception {
    try (LinkedNodes nodes =
        new LinkedNodes(
            LinkedNodes.FrameFilter.NONE, LinkedNodes.FrameFilter.NONE, chunkedResponse())) {
      Exchange exchange = nodes.open(false);
      upload(exchange);

      try (var body = streamedBody(LinkedNodes.await(exchange)).stream()) {
        assertEquals(BODY_BYTES, body.readAllBytes().length);
      }
      assertEquals(1, nodes.wholeRequestsAtTarget());
    }
  }

  @ParameterizedTest
  @EnumSource
  void anAnswerWithALostFrameDoesNotEndWell(Loss loss) throws Exception {
    try (LinkedNodes nodes =
        new LinkedNodes(LinkedNodes.FrameFilter.NONE, lose(loss), chunkedResponse())) {
      Outcome<CallResponse> outcome = LinkedNodes.await(nodes.open(true));

      try (var body = streamedBody(outcome).stream()) {
        assertThrows(IOException.class, body::readAllBytes);
      }
    }
  }

  @ParameterizedTest
  @EnumSource
  void anUploadWithALostFrameDoesNotEndWell(Loss loss) throws Exception {
    try (LinkedNodes nodes =
        new LinkedNodes(lose(loss), LinkedNodes.FrameFilter.NONE, chunkedResponse())) {
      Exchange exchange = nodes.open(false);
      upload(exchange);

      assertFalse(LinkedNodes.await(exchange) instanceof Outcome.Answered<CallResponse>);
      assertEquals(0, nodes.wholeRequestsAtTarget());
    }
  }

  private static void upload(Exchange exchange) throws InterruptedException {
    for (int i = 0; i < UPLOAD_FRAMES; i++) {
      exchange.send(UPLOAD_PIECE, false);
    }
    exchange.send(new byte[0], true);
  }
}
