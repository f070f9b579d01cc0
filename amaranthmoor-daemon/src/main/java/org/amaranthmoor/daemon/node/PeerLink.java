package org.amaranthmoor.daemon.node;

import com.google.protobuf.ByteString;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.Deadline;
import org.amaranthmoor.model.ByteBudget;
import org.amaranthmoor.model.LoadReport;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.Hello;
import org.amaranthmoor.protocol.node.Load;
import org.amaranthmoor.protocol.node.StateReply;
import org.amaranthmoor.target.RunNotice;
import org.amaranthmoor.target.SuspectRequest;

/**
 * One TCP connection to another node's target side.
 *
 * <p>Invariants: a stream id is never reused; a frame for an unknown stream is dropped and counted;
 * when the connection is lost, every open stream completes with an outcome. Safe for use by several
 * threads; frames arrive on the event loop.
 */
final class PeerLink extends LinkHandler {

  /** Receives the events of a link. */
  interface Owner {
    /** Records a load report of the link's node. */
    void onLoad(PeerAddress address, LoadReport load);

    /** Records a notice of the target of the link's node. */
    void onNotice(PeerAddress address, RunNotice notice);

    /**
     * Asks the node whether the request of a lost link was handed over, and completes its stream.
     */
    void settleLost(PeerLink link, OutboundStream stream);

    /**
     * Asks the node to fence the request of a lost link.
     *
     * @return the result: whether the request will never run
     */
    CompletableFuture<Boolean> fenceLost(PeerLink link, OutboundStream stream);

    /** {@return what the received parts of bodies are taken from} */
    ByteBudget budget();

    /** {@return the clock} */
    TimeSource time();

    /** Records that the link closes itself because of a failure. */
    void onFailure(PeerAddress address, int openStreams, Throwable cause);

    /** Counts a frame that belongs to no open stream or query. */
    void onLateFrame();

    /** Counts bytes of a query or of a reply, sent or received. */
    void onControlFrame(int bytes);
  }

  private static final long NO_PROBE = Long.MIN_VALUE;

  private static final Outcome<CallResponse> LINK_LOST =
      new Outcome.Unknown<>(
          ResultCode.LINK_LOST, "the link to the target side was lost after the request was sent");

  private final PeerAddress address;
  private final Hello hello;
  private final Owner owner;
  private final AtomicLong nextId = new AtomicLong();
  private final Map<Long, OutboundStream> streams = new ConcurrentHashMap<>();
  private final Map<Long, CompletableFuture<Frame>> queries = new ConcurrentHashMap<>();
  // The pieces of state replies that have arrived so far, concatenated, by query.
  private final Map<Long, ByteString> partialStateReplies = new ConcurrentHashMap<>();
  private final CountDownLatch active = new CountDownLatch(1);
  private volatile Optional<Channel> channel = Optional.empty();
  private volatile long lastReceivedNanos;
  private volatile long probeSentNanos = NO_PROBE;
  private volatile boolean lost;
  private int streamsAtLoss;

  PeerLink(PeerAddress address, Hello hello, Owner owner) {
    this.address = address;
    this.hello = hello;
    this.owner = owner;
  }

  PeerAddress address() {
    return address;
  }

  long connection() {
    return hello.getConnection();
  }

  long incarnation() {
    return hello.getIncarnation();
  }

  boolean usable() {
    return !lost && channel.isPresent() && channel.get().isActive();
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    lastReceivedNanos = owner.time().nanos();
    channel = Optional.of(context.channel());
    context.writeAndFlush(Frame.newBuilder().setHello(hello).build());
    active.countDown();
  }

  /**
   * Waits until the link can be used: the connect future completes before the handlers of the
   * channel have been told.
   *
   * @return whether the link became active in time
   */
  boolean awaitActive(long millis) throws InterruptedException {
    return active.await(millis, TimeUnit.MILLISECONDS);
  }

  /**
   * Opens a stream; returns empty, and sends nothing, if the link is not connected or its peer has
   * long not read what was sent.
   */
  Optional<OutboundStream> open(
      CallRequest request,
      Optional<RunNotice> rememberedNotice,
      Optional<SuspectRequest> suspect,
      long configOffset,
      long nowNanos) {
    if (!usable() || !channel.get().isWritable()) {
      return Optional.empty();
    }
    OutboundStream stream =
        new OutboundStream(
            nextId.incrementAndGet(),
            this,
            request.idempotent(),
            new Deadline(request.deadlineNanos(), owner.time()),
            owner.budget());
    Frame frame =
        Frames.openCall(
            stream.id(),
            request,
            address.incarnation(),
            rememberedNotice,
            suspect,
            configOffset,
            nowNanos);
    streams.put(stream.id(), stream);
    try {
      send(frame);
    } catch (Error | RuntimeException e) {
      // The link closes, and ends this stream like every other.
    }
    if (lost && removeStream(stream)) {
      endLost(stream);
    }
    return Optional.of(stream);
  }

  /**
   * Sends a frame, which is dropped if the link is not connected. A frame that cannot be sent
   * closes the link, as its receiver might wait for it.
   */
  void send(Frame frame) {
    Optional<Channel> open = channel;
    if (open.isEmpty()) {
      return;
    }
    boolean sent = false;
    try {
      open.get().writeAndFlush(frame, open.get().voidPromise());
      sent = true;
    } finally {
      if (!sent) {
        close();
      }
    }
  }

  /** Sends a query and returns the future of its reply. */
  CompletableFuture<Frame> query(java.util.function.LongFunction<Frame> create) {
    long id = nextId.incrementAndGet();
    Frame frame = create.apply(id);
    CompletableFuture<Frame> reply = new CompletableFuture<>();
    reply.whenComplete((received, error) -> queries.remove(id));
    queries.put(id, reply);
    boolean sends = usable() && channel.get().isWritable();
    if (sends) {
      owner.onControlFrame(frame.getSerializedSize());
      send(frame);
    }
    if (!sends || !usable()) {
      reply.completeExceptionally(
          new java.io.IOException(
              "cannot send a query because the link is not connected or its peer does not read"));
    }
    return reply;
  }

  /** Removes a stream and returns whether it was open. */
  boolean removeStream(OutboundStream stream) {
    return streams.remove(stream.id(), stream);
  }

  /** {@return whether a stream is open} */
  boolean isOpen(OutboundStream stream) {
    return streams.get(stream.id()) == stream;
  }

  /**
   * Fences the request of a stream that ended with the loss of this link.
   *
   * @return whether the target side has confirmed in time that the request will never run
   */
  boolean fence(OutboundStream stream, long nanos) throws InterruptedException {
    if (!lost) {
      return false;
    }
    try {
      return owner.fenceLost(this, stream).get(nanos, TimeUnit.NANOSECONDS);
    } catch (ExecutionException | TimeoutException e) {
      return false;
    }
  }

  void close() {
    channel.ifPresent(LinkHandler::close);
  }

  /** {@return whether requests or queries are pending on this link} */
  boolean hasPending() {
    return !streams.isEmpty() || !queries.isEmpty();
  }

  /**
   * Probes a link on which something is pending if no frame has arrived for a while, and closes it
   * if the probe times out.
   *
   * @return whether the link was closed
   */
  boolean checkLiveness(long nowNanos, long probeAfterNanos, long probeTimeoutNanos) {
    boolean hasPending = hasPending();
    if (probeSentNanos != NO_PROBE && lastReceivedNanos - probeSentNanos > 0) {
      probeSentNanos = NO_PROBE;
    }
    if (!usable()) {
      return false;
    }
    if (probeSentNanos != NO_PROBE) {
      boolean timedOut = nowNanos - probeSentNanos > probeTimeoutNanos;
      if (timedOut) {
        close();
      }
      return timedOut;
    }
    if (hasPending && nowNanos - lastReceivedNanos > probeAfterNanos) {
      probeSentNanos = nowNanos;
      send(Frames.probe(nextId.incrementAndGet()));
    }
    return false;
  }

  @Override
  void onFrame(ChannelHandlerContext context, Frame frame) {
    lastReceivedNanos = owner.time().nanos();
    switch (frame.getBodyCase()) {
      case REFUSED -> {
        onLoad(frame.getRefused().getLoad());
        stream(frame.getRefused().getStream()).ifPresent(s -> s.onRefused(frame.getRefused()));
      }
      case RESPONSE_HEAD -> {
        onLoad(frame.getResponseHead().getLoad());
        stream(frame.getResponseHead().getStream())
            .ifPresent(s -> s.onHead(frame.getResponseHead()));
      }
      case FAILED -> {
        onLoad(frame.getFailed().getLoad());
        stream(frame.getFailed().getStream()).ifPresent(s -> s.onFailed(frame.getFailed()));
      }
      case DATA -> stream(frame.getData().getStream()).ifPresent(s -> s.onData(frame));
      case CREDIT ->
          Optional.ofNullable(streams.get(frame.getCredit().getStream()))
              .ifPresent(s -> s.onCredit(frame.getCredit().getBytes()));
      case SETTLED -> completeQuery(frame.getSettled().getQuery(), frame);
      case PROBE_REPLY -> {
        onLoad(frame.getProbeReply().getLoad());
        completeIfPending(frame.getProbeReply().getQuery(), frame);
      }
      case STATE_REPLY -> onPiece(frame.getStateReply());
      case LEASE_GRANT -> completeQuery(frame.getLeaseGrant().getQuery(), frame);
      case QUOTA_REPLY -> completeQuery(frame.getQuotaReply().getQuery(), frame);
      case STATUS_REPLY -> completeQuery(frame.getStatusReply().getQuery(), frame);
      default -> owner.onLateFrame();
    }
  }

  private void onLoad(Load load) {
    owner.onLoad(address, Frames.toLoad(load));
    Frames.notice(load).ifPresent(notice -> owner.onNotice(address, notice));
  }

  // Completes the query with one reply once all pieces have arrived.
  private void onPiece(StateReply reply) {
    long query = reply.getQuery();
    ByteString all =
        partialStateReplies.getOrDefault(query, ByteString.EMPTY).concat(reply.getPiece());
    if (!reply.getLast()) {
      partialStateReplies.put(query, all);
      return;
    }
    partialStateReplies.remove(query);
    StateReply complete = StateReply.newBuilder().setQuery(query).setPiece(all).build();
    completeQuery(query, Frame.newBuilder().setStateReply(complete).build());
  }

  private Optional<OutboundStream> stream(long id) {
    OutboundStream stream = streams.get(id);
    if (stream == null) {
      owner.onLateFrame();
    }
    return Optional.ofNullable(stream);
  }

  // No query is pending for a probe that was sent by checkLiveness().
  private void completeIfPending(long query, Frame frame) {
    if (queries.containsKey(query)) {
      completeQuery(query, frame);
    }
  }

  private void completeQuery(long query, Frame frame) {
    owner.onControlFrame(frame.getSerializedSize());
    CompletableFuture<Frame> waiting = queries.get(query);
    if (waiting == null) {
      owner.onLateFrame();
    } else {
      waiting.complete(frame);
    }
  }

  @Override
  void onLost() {
    if (!lost) {
      streamsAtLoss = streams.size();
    }
    lost = true;
    for (OutboundStream stream : streams.values()) {
      if (removeStream(stream)) {
        endLost(stream);
      }
    }
    for (CompletableFuture<Frame> query : queries.values()) {
      query.completeExceptionally(
          new java.io.IOException("the link was lost before the reply arrived"));
    }
  }

  // A settlement that cannot be started leaves it unknown whether the request has run.
  private void endLost(OutboundStream stream) {
    boolean settles = false;
    try {
      if (!stream.idempotent() && !stream.completed()) {
        owner.settleLost(this, stream);
        settles = true;
      }
    } catch (Error | RuntimeException e) {
      // Handled below, as an allocation here might fail again.
    }
    if (!settles) {
      stream.onLinkLost(LINK_LOST);
    }
  }

  static Outcome<CallResponse> linkLostOutcome() {
    return LINK_LOST;
  }

  @Override
  void onFailure(Throwable cause) {
    owner.onFailure(address, streamsAtLoss, cause);
  }
}
