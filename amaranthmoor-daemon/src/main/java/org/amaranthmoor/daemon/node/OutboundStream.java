package org.amaranthmoor.daemon.node;

import java.util.Arrays;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import org.amaranthmoor.daemon.exchange.BodyPipe;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.Deadline;
import org.amaranthmoor.daemon.exchange.EndNotifyingBody;
import org.amaranthmoor.daemon.exchange.Exchange;
import org.amaranthmoor.daemon.exchange.SendWindow;
import org.amaranthmoor.model.ByteBudget;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.protocol.node.Failed;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.Refused;
import org.amaranthmoor.protocol.node.ResponseHead;

/**
 * The entry side's end of one request that is sent over a link.
 *
 * <p>Invariant: it completes with exactly one outcome. Safe for use by several threads: the link's
 * event loop passes frames in, and the request's thread sends the body and awaits the outcome.
 */
final class OutboundStream implements Exchange {

  private static final Outcome<CallResponse> CANCELLED =
      new Outcome.Unknown<>(
          ResultCode.DEADLINE_AFTER_START, "the entry side cancelled the request");

  private final long id;
  private final PeerLink link;
  private final boolean idempotent;
  private final CompletableFuture<Outcome<CallResponse>> outcome = new CompletableFuture<>();
  private final SendWindow sendWindow;
  private final BodyPipe responseBody;
  private final ReceivedBody receivedBody;
  private long sentBytes;

  OutboundStream(long id, PeerLink link, boolean idempotent, Deadline deadline, ByteBudget budget) {
    this.id = id;
    this.link = link;
    this.idempotent = idempotent;
    this.sendWindow = new SendWindow(deadline);
    this.responseBody =
        new BodyPipe(
            Integer.MAX_VALUE, deadline, budget, bytes -> link.send(Frames.credit(id, bytes)));
    this.receivedBody = new ReceivedBody(responseBody);
  }

  long id() {
    return id;
  }

  boolean idempotent() {
    return idempotent;
  }

  @Override
  public Optional<Outcome<CallResponse>> await(long nanos) throws InterruptedException {
    try {
      return Optional.of(outcome.get(nanos, TimeUnit.NANOSECONDS));
    } catch (TimeoutException e) {
      return Optional.empty();
    } catch (ExecutionException e) {
      throw new IllegalStateException("the outcome future completed exceptionally", e);
    }
  }

  @Override
  public void onOutcome(Runnable listener) {
    var unused = outcome.whenComplete((result, failure) -> listener.run());
  }

  @Override
  public boolean awaitRoom(long nanos) throws InterruptedException {
    return sendWindow.awaitCredit(MAX_SEND_BYTES, nanos);
  }

  // A body that cannot be sent to its end must not leave the target waiting for the rest.
  @Override
  public boolean send(byte[] bytes, boolean last) throws InterruptedException {
    boolean ended = false;
    try {
      boolean accepted = sendAll(bytes, last);
      ended = true;
      return accepted;
    } finally {
      if (!ended) {
        cancel();
      }
    }
  }

  private boolean sendAll(byte[] bytes, boolean last) throws InterruptedException {
    for (int from = 0; from < bytes.length; from += Frames.MAX_DATA_BYTES) {
      int to = Math.min(bytes.length, from + Frames.MAX_DATA_BYTES);
      if (!sendWindow.acquire(to - from)) {
        return false;
      }
      byte[] chunk = Arrays.copyOfRange(bytes, from, to);
      sentBytes += chunk.length;
      link.send(
          last && to == bytes.length
              ? Frames.lastData(id, chunk, sentBytes)
              : Frames.data(id, chunk));
    }
    if (bytes.length == 0 && last) {
      link.send(Frames.lastData(id, bytes, sentBytes));
    }
    return !outcome.isDone();
  }

  // The target side replies to the cancellation with a refusal if the request was not handed over,
  // and with a failure otherwise, as earlier builds do.
  @Override
  public void withdraw() {
    sendWindow.close();
    if (link.isOpen(this)) {
      link.send(Frames.cancel(id));
    }
  }

  @Override
  public boolean fence(long nanos) throws InterruptedException {
    return link.fence(this, nanos);
  }

  @Override
  public void cancel() {
    boolean open = link.removeStream(this);
    sendWindow.close();
    responseBody.close();
    outcome.complete(CANCELLED);
    if (open) {
      link.send(Frames.cancel(id));
    }
  }

  void onCredit(int bytes) {
    sendWindow.grant(bytes);
  }

  // A stream is removed last, so that the loss of the link ends it if a frame cannot be handled.

  void onRefused(Refused refused) {
    complete(
        new Outcome.NotRun<>(
            Frames.toCode(refused), refused.getRetryAfterMillis(), refused.getDetail()));
    link.removeStream(this);
  }

  void onFailed(Failed failed) {
    responseBody.fail(failed.getDetail());
    complete(new Outcome.Unknown<>(Frames.toCode(failed), failed.getDetail()));
    link.removeStream(this);
  }

  void onHead(ResponseHead head) {
    if (head.getComplete()) {
      CallResponse.Body buffered = new CallResponse.Body.Buffered(head.getBody().toByteArray());
      complete(new Outcome.Answered<>(Frames.toResponse(head, buffered)));
      link.removeStream(this);
      return;
    }
    EndNotifyingBody body =
        new EndNotifyingBody(responseBody, head.getBodyLength(), () -> {}, this::cancel);
    CallResponse.Body streamed = new CallResponse.Body.Streamed(body, head.getBodyLength());
    complete(new Outcome.Answered<>(Frames.toResponse(head, streamed)));
  }

  void onData(Frame frame) {
    receivedBody.onData(frame.getData());
    if (frame.getData().getLast()) {
      link.removeStream(this);
    }
  }

  /** Completes the request with the outcome that was determined after the link was lost. */
  void onLinkLost(Outcome<CallResponse> result) {
    responseBody.fail("the link to the target side was lost");
    complete(result);
  }

  boolean completed() {
    return outcome.isDone();
  }

  private void complete(Outcome<CallResponse> result) {
    sendWindow.close();
    outcome.complete(result);
  }
}
