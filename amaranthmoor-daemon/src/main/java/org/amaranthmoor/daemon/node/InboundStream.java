package org.amaranthmoor.daemon.node;

import io.netty.channel.Channel;
import java.io.IOException;
import java.io.InputStream;
import java.util.Arrays;
import org.amaranthmoor.daemon.exchange.BodyPipe;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.Deadline;
import org.amaranthmoor.daemon.exchange.SendWindow;
import org.amaranthmoor.daemon.target.InboundCall;
import org.amaranthmoor.daemon.target.TargetSide;
import org.amaranthmoor.model.ByteBudget;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.protocol.node.Data;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.target.HandOver;

/**
 * The target side's end of one request that arrived over a link.
 *
 * <p>Safe for use by several threads: the event loop passes frames in, and one virtual thread runs
 * the request.
 */
final class InboundStream {

  // Created in advance, as a full heap may be the cause.
  private static final Outcome.NotRun<CallResponse> FAILED_BEFORE_HAND_OVER =
      new Outcome.NotRun<>(ResultCode.OVERLOADED, 0, "the target side failed before the hand-over");

  private final long id;
  private final Channel channel;
  private final TargetSide targetSide;
  private final BodyPipe requestBody;
  private final ReceivedBody receivedBody;
  private final SendWindow sendWindow;
  private final InboundCall call;

  InboundStream(
      long id,
      Channel channel,
      TargetSide targetSide,
      CallRequest request,
      HandOver handOver,
      ByteBudget budget,
      TimeSource time) {
    Deadline deadline = new Deadline(request.deadlineNanos(), time);
    this.id = id;
    this.channel = channel;
    this.targetSide = targetSide;
    this.sendWindow = new SendWindow(deadline);
    this.requestBody =
        new BodyPipe(Integer.MAX_VALUE, deadline, budget, bytes -> send(Frames.credit(id, bytes)));
    this.receivedBody = new ReceivedBody(requestBody);
    this.call = new InboundCall(request, requestBody, handOver);
  }

  void onData(Data data) {
    receivedBody.onData(data);
  }

  void onCredit(int bytes) {
    sendWindow.grant(bytes);
  }

  void cancel() {
    requestBody.fail("the entry side cancelled the request or its link was lost");
    sendWindow.close();
    call.cancel();
  }

  /**
   * Runs the request and sends its response. The entry side gets an outcome whatever fails, or
   * loses the link.
   */
  void run() {
    boolean ended = false;
    try {
      respond();
      ended = true;
    } finally {
      sendWindow.close();
      if (!ended) {
        breakOff();
      }
    }
  }

  private void respond() {
    switch (runCall()) {
      case Outcome.NotRun<CallResponse> notRun ->
          send(Frames.refused(id, notRun, targetSide.status()));
      case Outcome.Unknown<CallResponse> unknown ->
          send(Frames.failed(id, unknown.code(), unknown.detail(), targetSide.status()));
      case Outcome.Answered<CallResponse> answered -> sendResponse(answered.response());
    }
  }

  private Outcome<CallResponse> runCall() {
    try {
      return targetSide.run(call);
    } finally {
      requestBody.close();
    }
  }

  private void breakOff() {
    boolean sent = false;
    try {
      if (call.handOver().fence()) {
        send(Frames.refused(id, FAILED_BEFORE_HAND_OVER, targetSide.status()));
      } else {
        fail("the target side failed unexpectedly");
      }
      sent = true;
    } finally {
      if (!sent) {
        LinkHandler.close(channel);
      }
    }
  }

  private void sendResponse(CallResponse response) {
    switch (response.body()) {
      case CallResponse.Body.Buffered buffered -> sendHead(response);
      case CallResponse.Body.Streamed streamed -> sendStreamed(response, streamed);
    }
  }

  private void sendHead(CallResponse response) {
    send(Frames.responseHead(id, response, targetSide.status()));
  }

  // The body holds the slot of the target until it is closed.
  private void sendStreamed(CallResponse response, CallResponse.Body.Streamed streamed) {
    try (InputStream body = streamed.stream()) {
      sendHead(response);
      sendBody(body);
    } catch (IOException e) {
      fail(String.valueOf(e.getMessage()));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      fail("the response was interrupted because the target side is stopping");
    }
  }

  private void sendBody(InputStream body) throws IOException, InterruptedException {
    byte[] buffer = new byte[Frames.MAX_DATA_BYTES];
    long totalBytes = 0;
    int count = body.read(buffer);
    while (count >= 0) {
      if (!sendWindow.acquire(count)) {
        throw new IOException(
            "the entry side cancelled the request, its link was lost, or it did not read the"
                + " response before the deadline");
      }
      send(Frames.data(id, Arrays.copyOf(buffer, count)));
      totalBytes += count;
      count = body.read(buffer);
    }
    send(Frames.lastData(id, new byte[0], totalBytes));
  }

  private void fail(String detail) {
    send(Frames.failed(id, ResultCode.TARGET_BROKE_OFF, detail, targetSide.status()));
  }

  private void send(Frame frame) {
    channel.writeAndFlush(frame, channel.voidPromise());
  }
}
