package org.amaranthmoor.daemon.node;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthmoor.connection.ConnectionAdmission;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.http.ProcessLimits;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.daemon.target.TargetSide;
import org.amaranthmoor.model.ByteBudget;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.Hello;
import org.amaranthmoor.protocol.node.OpenCall;
import org.amaranthmoor.protocol.node.ProbeReply;
import org.amaranthmoor.protocol.node.Settle;
import org.amaranthmoor.protocol.node.Settled;
import org.amaranthmoor.target.ExchangeLedger;
import org.amaranthmoor.target.ExchangeLedger.ConnectionId;
import org.amaranthmoor.target.HandOver;

/**
 * Accepts connections from other nodes, and runs their requests and answers their queries.
 *
 * <p>Frames are read on event loops; each request runs on a virtual thread. Safe for use by several
 * threads.
 */
public final class PeerServer implements AutoCloseable {

  /** Time for which a new connection is not closed for another one, in nanoseconds. */
  private static final long NEW_CONNECTION_GRACE_NANOS = 1_000_000_000L;

  /**
   * Time without a frame from which the connection of a node can be closed for another one, in
   * nanoseconds: much longer than nodes wait between two queries.
   */
  private static final long SILENCE_NANOS = 30_000_000_000L;

  /** Time after a search for connections to close in which no other is made, in nanoseconds. */
  private static final long SEARCH_INTERVAL_NANOS = 20_000_000L;

  /**
   * Bytes beyond the usual ones that may wait for a peer that sends and does not read: more than
   * the windows of the requests that are accepted while it reads.
   */
  private static final long MAX_UNREAD_BYTES = 3L * FrameChannelInitializer.MAX_WAITING_BYTES;

  private final TargetSide targetSide;
  private final ExchangeLedger ledger;
  private final PeerQueryHandler queries;
  private final SuspicionExchange suspicions;
  private final NodeIdentity identity;
  private final Executor executor;
  private final ByteBudget budget;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final EventLog log;
  private final PartialFrames partialFrames;
  private final ConnectionAdmission admission =
      ConnectionAdmission.forNodes(
          Runtime.getRuntime().maxMemory(), ProcessLimits.maxDescriptors());
  private final Set<Connection> connections = ConcurrentHashMap.newKeySet();
  private final AtomicLong closedConnections = new AtomicLong();
  // The connections that the last search found, the first to be closed first.
  private final Deque<Connection> closable = new ArrayDeque<>();
  private Optional<Long> lastSearchNanos = Optional.empty();
  private final Channel serverChannel;

  /**
   * Binds the TCP port and accepts connections.
   *
   * @param host the IP address to listen on
   * @param port the port to listen on
   * @param group event loops of the channels
   * @param targetSide runs requests
   * @param ledger records which requests were handed over
   * @param queries answers queries
   * @param suspicions takes over the suspicions that requests carry
   * @param identity this node
   * @param executor runs each request on a virtual thread
   * @param budget what the received parts of bodies are taken from
   * @param metrics counts control bytes and late frames
   * @param time the clock
   * @param log receives failures of links
   */
  public PeerServer(
      String host,
      int port,
      EventLoopGroup group,
      TargetSide targetSide,
      ExchangeLedger ledger,
      PeerQueryHandler queries,
      SuspicionExchange suspicions,
      NodeIdentity identity,
      Executor executor,
      ByteBudget budget,
      NodeMetrics metrics,
      TimeSource time,
      EventLog log) {
    this.targetSide = targetSide;
    this.ledger = ledger;
    this.queries = queries;
    this.suspicions = suspicions;
    this.identity = identity;
    this.executor = executor;
    this.budget = budget;
    this.metrics = metrics;
    this.time = time;
    this.log = log;
    this.partialFrames = PartialFrames.ofProcess(time);
    this.serverChannel =
        new ServerBootstrap()
            .group(group)
            .channelFactory(ListeningChannel::new)
            .option(ChannelOption.SO_REUSEADDR, true)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new FrameChannelInitializer(
                    LinkCompression.Detector::new,
                    () -> new InboundFrameDecoder(partialFrames),
                    Connection::new))
            .bind(host, port)
            .syncUninterruptibly()
            .channel();
  }

  @Override
  public void close() {
    serverChannel.close().syncUninterruptibly();
  }

  // Makes room for a connection: those that have not said which node they are end first, then the
  // ones without requests that have been silent for long. Event loops share the search.
  private synchronized void admit(Connection added) {
    long nowNanos = time.nanos();
    if (connections.size() >= admission.capacity()) {
      Connection removed = nextClosable(nowNanos).orElse(added);
      connections.remove(removed);
      closedConnections.incrementAndGet();
      log.warn(
          "node-connection-closed",
          () -> "peer=" + removed.peer() + " capacity=" + admission.capacity());
      removed.close();
      if (removed == added) {
        return;
      }
    }
    connections.add(added);
  }

  private Optional<Connection> nextClosable(long nowNanos) {
    if (lastSearchNanos.isEmpty() || nowNanos - lastSearchNanos.get() >= SEARCH_INTERVAL_NANOS) {
      lastSearchNanos = Optional.of(nowNanos);
      closable.clear();
      connections.stream()
          .filter(connection -> connection.mayClose(nowNanos))
          .sorted(
              Comparator.comparing(Connection::isKnown)
                  .thenComparingLong(connection -> connection.lastFrameNanos() - nowNanos))
          .forEach(closable::add);
    }
    while (!closable.isEmpty()) {
      Connection next = closable.remove();
      if (connections.contains(next) && next.mayClose(nowNanos)) {
        return Optional.of(next);
      }
    }
    return Optional.empty();
  }

  /**
   * Registers the metrics of the connections of other nodes.
   *
   * @return this server
   */
  public PeerServer registerMetrics() {
    metrics.registerGauge(
        "amaranthmoor.node.connections", "Connections of other nodes", connections::size);
    metrics.registerCounter(
        "amaranthmoor.node.connections.closed",
        "Connections of other nodes closed to make room, or for want of it",
        closedConnections::get);
    return this;
  }

  private final class Connection extends LinkHandler {

    private final Map<Long, InboundStream> streams = new ConcurrentHashMap<>();
    private volatile Optional<ConnectionId> id = Optional.empty();
    private volatile Optional<Channel> channel = Optional.empty();
    private volatile long acceptedNanos;
    private volatile long lastFrameNanos;

    @Override
    public void channelActive(ChannelHandlerContext context) {
      acceptedNanos = time.nanos();
      lastFrameNanos = acceptedNanos;
      channel = Optional.of(context.channel());
      admit(this);
      context.fireChannelActive();
    }

    // What is not known to be a node may send as often as it likes.
    boolean mayClose(long nowNanos) {
      return isKnown()
          ? streams.isEmpty() && nowNanos - lastFrameNanos >= SILENCE_NANOS
          : nowNanos - acceptedNanos >= NEW_CONNECTION_GRACE_NANOS;
    }

    boolean isKnown() {
      return id.isPresent();
    }

    long lastFrameNanos() {
      return lastFrameNanos;
    }

    String peer() {
      return channel.map(open -> String.valueOf(open.remoteAddress())).orElse("unknown");
    }

    void close() {
      channel.ifPresent(LinkHandler::close);
    }

    @Override
    void onFrame(ChannelHandlerContext context, Frame frame) {
      lastFrameNanos = time.nanos();
      if (context.channel().bytesBeforeWritable() > MAX_UNREAD_BYTES) {
        throw new IllegalStateException("the peer does not read what it is sent");
      }
      switch (frame.getBodyCase()) {
        case HELLO -> onHello(context, frame.getHello());
        case OPEN_CALL -> onOpenCall(context.channel(), frame.getOpenCall());
        case DATA -> stream(frame.getData().getStream()).ifPresent(s -> s.onData(frame.getData()));
        case CREDIT ->
            stream(frame.getCredit().getStream())
                .ifPresent(s -> s.onCredit(frame.getCredit().getBytes()));
        case CANCEL ->
            stream(frame.getCancel().getStream()).ifPresent(s -> executor.execute(s::cancel));
        case SETTLE -> context.writeAndFlush(settle(frame.getSettle()));
        case PROBE -> {
          metrics.addControlBytes(frame.getSerializedSize());
          context.writeAndFlush(probeReply(frame.getProbe().getQuery()));
        }
        case LEASE_REQUEST -> context.writeAndFlush(queries.answerLease(frame.getLeaseRequest()));
        case STATE_REQUEST ->
            queries.answerState(frame.getStateRequest()).forEach(context::writeAndFlush);
        case STATUS_REQUEST ->
            context.writeAndFlush(queries.answerStatus(frame.getStatusRequest().getQuery()));
        case QUOTA_REQUEST -> {
          Frame reply = queries.answerQuota(frame.getQuotaRequest());
          metrics.addControlBytes(frame.getSerializedSize() + reply.getSerializedSize());
          context.writeAndFlush(reply);
        }
        default -> metrics.countLateFrame();
      }
    }

    private void onHello(ChannelHandlerContext context, Hello hello) {
      InboundFrameDecoder decoder = context.pipeline().get(InboundFrameDecoder.class);
      if (decoder != null) {
        decoder.allowLongFrames();
      }
      ConnectionId connection =
          new ConnectionId(hello.getNode(), hello.getIncarnation(), hello.getConnection());
      id = Optional.of(connection);
      ledger.onConnected(connection);
    }

    private void onOpenCall(Channel channel, OpenCall open) {
      if (id.isEmpty() || !Names.isName(open.getService())) {
        channel.close();
        return;
      }
      Frames.rememberedNotice(open).ifPresent(targetSide::restoreNotice);
      if (open.hasSuspicion()) {
        suspicions.receive(open.getSuspicion(), id.get().entry());
      }
      CallRequest request = Frames.toRequest(open, time.nanos());
      Optional<ResultCode> refusal = checkIncarnation(open);
      HandOver handOver = ledger.register(id.get(), open.getStream());
      if (refusal.isEmpty() && handOver.state() == HandOver.State.FENCED) {
        refusal = Optional.of(ResultCode.FENCED);
      }
      if (refusal.isEmpty() && !hasRoom(channel, open)) {
        refusal = Optional.of(ResultCode.OVERLOADED);
      }
      if (refusal.isPresent()) {
        handOver.fence();
        Outcome.NotRun<?> notRun =
            new Outcome.NotRun<>(
                refusal.get(), 0, "the target side refused the request before admission");
        channel.writeAndFlush(Frames.refused(open.getStream(), notRun, targetSide.status()));
        return;
      }
      InboundStream stream =
          new InboundStream(open.getStream(), channel, targetSide, request, handOver, budget, time);
      streams.put(open.getStream(), stream);
      executor.execute(() -> run(open.getStream(), stream));
    }

    // A request on which a running one depends gets the room that is kept for what has begun.
    private boolean hasRoom(Channel channel, OpenCall open) {
      return open.getNeeded() || (!budget.isNearlyUsed() && channel.isWritable());
    }

    private Optional<ResultCode> checkIncarnation(OpenCall open) {
      return open.getTargetIncarnation() == identity.incarnation().value()
          ? Optional.empty()
          : Optional.of(ResultCode.WRONG_INCARNATION);
    }

    private void run(long streamId, InboundStream stream) {
      try {
        runAndRemove(streamId, stream);
      } catch (Error | RuntimeException e) {
        log.warn(
            "request-failed",
            () -> "stream=" + streamId + " error=" + EventLog.quote(e.toString()));
      }
    }

    private void runAndRemove(long streamId, InboundStream stream) {
      try {
        stream.run();
      } finally {
        streams.remove(streamId);
      }
    }

    private Optional<InboundStream> stream(long streamId) {
      return Optional.ofNullable(streams.get(streamId));
    }

    private Frame settle(Settle settle) {
      Settled.Verdict verdict = Settled.Verdict.UNKNOWN;
      if (settle.getTargetIncarnation() == identity.incarnation().value() && id.isPresent()) {
        ConnectionId lost =
            new ConnectionId(
                id.get().entry(), settle.getEntryIncarnation(), settle.getConnection());
        verdict =
            switch (ledger.settle(lost, settle.getStream())) {
              case UNKNOWN -> Settled.Verdict.UNKNOWN;
              case HANDED_OVER -> Settled.Verdict.HANDED_OVER;
              case FENCED -> Settled.Verdict.FENCED;
            };
      }
      return Frame.newBuilder()
          .setSettled(Settled.newBuilder().setQuery(settle.getQuery()).setVerdict(verdict))
          .build();
    }

    private Frame probeReply(long query) {
      ProbeReply reply =
          ProbeReply.newBuilder()
              .setQuery(query)
              .setLoad(Frames.toMessage(targetSide.status()))
              .build();
      Frame frame = Frame.newBuilder().setProbeReply(reply).build();
      metrics.addControlBytes(frame.getSerializedSize());
      return frame;
    }

    @Override
    void onLost() {
      connections.remove(this);
      streams.values().forEach(this::cancel);
      id.ifPresent(connection -> ledger.onDisconnected(connection, time.nanos()));
    }

    // On another thread where possible, as closing the connection to the target may block.
    private void cancel(InboundStream stream) {
      try {
        executor.execute(stream::cancel);
      } catch (Error | RuntimeException e) {
        stream.cancel();
      }
    }

    @Override
    void onFailure(Throwable cause) {
      metrics.countLinkFailure();
      log.warn(
          "link-failed",
          () ->
              "peer="
                  + id.map(ConnectionId::entry).map(EventLog::quote).orElse("unknown")
                  + " requests="
                  + streams.size()
                  + " error="
                  + EventLog.quote(cause.toString()));
    }
  }
}
