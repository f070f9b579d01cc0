package org.amaranthmoor.daemon.node;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.socket.nio.NioSocketChannel;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.ReentrantLock;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.Exchange;
import org.amaranthmoor.daemon.exchange.RequestQuarantine;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.model.ByteBudget;
import org.amaranthmoor.model.LoadReport;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.Hello;
import org.amaranthmoor.protocol.node.Settle;
import org.amaranthmoor.protocol.node.Settled;
import org.amaranthmoor.target.NoticeCache;
import org.amaranthmoor.target.RunNotice;

/**
 * Keeps one link to each node that requests or queries are sent to.
 *
 * <p>Safe for use by several threads.
 */
public final class PeerLinks implements AutoCloseable {

  /** Timeout for opening a link: many times the longest network delay within a region. */
  private static final int CONNECT_TIMEOUT_MILLIS = 300;

  /** Delay before another attempt to connect to a node after one has failed. */
  private static final long RECONNECT_DELAY_NANOS = 500_000_000L;

  /**
   * Time without a received frame after which a link with pending requests or queries is probed.
   */
  private static final long PROBE_AFTER_NANOS = 300_000_000L;

  /** Time after a probe within which a frame must arrive. */
  private static final long PROBE_TIMEOUT_NANOS = 700_000_000L;

  private static final long SETTLE_TIMEOUT_MILLIS = 500;

  /** Receives load reports. */
  public interface LoadListener {
    /**
     * Records a load report.
     *
     * @param address the node it is about
     * @param load the report
     */
    void onLoad(PeerAddress address, LoadReport load);
  }

  private final NodeIdentity identity;
  private final EventLoopGroup group;
  private final ExecutorService executor;
  private final LoadListener loadListener;
  private final NoticeCache notices;
  private final RequestQuarantine quarantine;
  private final ByteBudget budget;
  private final NodeMetrics metrics;
  private final TimeSource time;
  private final EventLog log;
  private final Predicate<NodeName> isInOtherZone;
  private final Map<PeerAddress, PeerLink> links = new ConcurrentHashMap<>();
  private final Map<PeerAddress, ReentrantLock> locks = new ConcurrentHashMap<>();
  private final Map<PeerAddress, Long> unreachableUntilNanos = new ConcurrentHashMap<>();
  private final AtomicLong nextConnection = new AtomicLong();
  private final PeerLink.Owner owner = new LinkOwner();

  /**
   * Creates links that connect on first use.
   *
   * @param identity this node
   * @param group event loops of the channels
   * @param executor runs settlements of requests whose link was lost
   * @param loadListener receives load reports
   * @param notices keeps the last notice of each target
   * @param quarantine provides the suspicion that a request carries
   * @param budget what the received parts of bodies are taken from
   * @param metrics counts control bytes and late frames
   * @param time the clock
   * @param log receives failures of links
   * @param isInOtherZone whether a node is in another availability zone, so that its link is
   *     compressed
   */
  public PeerLinks(
      NodeIdentity identity,
      EventLoopGroup group,
      ExecutorService executor,
      LoadListener loadListener,
      NoticeCache notices,
      RequestQuarantine quarantine,
      ByteBudget budget,
      NodeMetrics metrics,
      TimeSource time,
      EventLog log,
      Predicate<NodeName> isInOtherZone) {
    this.identity = identity;
    this.group = group;
    this.executor = executor;
    this.loadListener = loadListener;
    this.notices = notices;
    this.quarantine = quarantine;
    this.budget = budget;
    this.metrics = metrics;
    this.time = time;
    this.log = log;
    this.isInOtherZone = isInOtherZone;
  }

  /**
   * Sends a request to a node's target side.
   *
   * @param address the node
   * @param request the request
   * @param configOffset offset of the configuration by which it was routed
   * @return the exchange, or empty if no connection could be opened; nothing was sent then
   */
  public Optional<Exchange> open(PeerAddress address, CallRequest request, long configOffset) {
    return link(address)
        .flatMap(
            link ->
                link.open(
                    request,
                    notices.restriction(address.node()),
                    quarantine.suspect(request),
                    configOffset,
                    time.nanos()))
        .map(Exchange.class::cast);
  }

  /**
   * Sends a query to a node and waits for the reply.
   *
   * @param address the node
   * @param create creates the query for a given id
   * @param timeoutMillis maximum time to wait for the reply, in milliseconds
   * @return the reply, or empty if none arrived in time
   */
  public Optional<Frame> query(
      PeerAddress address, java.util.function.LongFunction<Frame> create, long timeoutMillis) {
    Optional<PeerLink> link = link(address);
    if (link.isEmpty()) {
      return Optional.empty();
    }
    return await(link.get().query(create), timeoutMillis);
  }

  /**
   * Sends a query without waiting for the reply, whose load report is recorded when it arrives.
   * Does nothing if no link to the node is open.
   *
   * @param address the node
   * @param create creates the query for a given id
   */
  public void sendQuery(PeerAddress address, java.util.function.LongFunction<Frame> create) {
    PeerLink link = links.get(address);
    if (link != null && link.usable()) {
      var unused =
          link.query(create)
              .orTimeout(SETTLE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
              .exceptionally(error -> Frame.getDefaultInstance());
    }
  }

  private static Optional<Frame> await(
      java.util.concurrent.CompletableFuture<Frame> reply, long timeoutMillis) {
    try {
      return Optional.of(reply.get(timeoutMillis, TimeUnit.MILLISECONDS));
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return Optional.empty();
    } catch (java.util.concurrent.ExecutionException | java.util.concurrent.TimeoutException e) {
      reply.cancel(false);
      return Optional.empty();
    }
  }

  private Optional<PeerLink> link(PeerAddress address) {
    PeerLink link = links.get(address);
    if (link != null && link.usable()) {
      return Optional.of(link);
    }
    return connect(address);
  }

  private Optional<PeerLink> connect(PeerAddress address) {
    // One thread connects; the others wait for the same link.
    ReentrantLock lock = locks.computeIfAbsent(address, key -> new ReentrantLock());
    lock.lock();
    try {
      PeerLink current = links.get(address);
      if (current != null && current.usable()) {
        return Optional.of(current);
      }
      Long until = unreachableUntilNanos.get(address);
      if (until != null && time.nanos() - until < 0) {
        return Optional.empty();
      }
      Optional<PeerLink> opened = connectNow(address);
      opened.ifPresentOrElse(
          link -> links.put(address, link),
          () -> unreachableUntilNanos.put(address, time.nanos() + RECONNECT_DELAY_NANOS));
      return opened;
    } finally {
      lock.unlock();
    }
  }

  private Optional<PeerLink> connectNow(PeerAddress address) {
    Hello hello =
        Hello.newBuilder()
            .setNode(identity.node().value())
            .setIncarnation(identity.incarnation().value())
            .setConnection(nextConnection.incrementAndGet())
            .build();
    PeerLink link = new PeerLink(address, hello, owner);
    ChannelFuture connected =
        new Bootstrap()
            .group(group)
            .channel(NioSocketChannel.class)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(new FrameChannelInitializer(() -> compression(address), () -> link))
            .connect(address.host(), address.port());
    boolean active = false;
    try {
      active =
          connected.await(CONNECT_TIMEOUT_MILLIS)
              && connected.isSuccess()
              && link.awaitActive(CONNECT_TIMEOUT_MILLIS);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    if (!active) {
      var unused = connected.channel().close();
      return Optional.empty();
    }
    return Optional.of(link);
  }

  private ChannelHandler compression(PeerAddress address) {
    return isInOtherZone.test(address.node())
        ? new LinkCompression.Initiator()
        : new ChannelInboundHandlerAdapter();
  }

  /**
   * Probes links with pending requests or queries that have received nothing for a while, and
   * closes those whose probe timed out. Called several times a second.
   *
   * @return addresses of the links that were closed
   */
  public List<PeerAddress> checkLiveness() {
    long now = time.nanos();
    return links.values().stream()
        .filter(link -> link.checkLiveness(now, PROBE_AFTER_NANOS, PROBE_TIMEOUT_NANOS))
        .map(PeerLink::address)
        .toList();
  }

  /**
   * Closes the links that match a condition.
   *
   * @param condition the condition on the address and its link
   */
  private void closeMatching(BiPredicate<PeerAddress, PeerLink> condition) {
    for (Map.Entry<PeerAddress, PeerLink> entry : List.copyOf(links.entrySet())) {
      if (condition.test(entry.getKey(), entry.getValue())) {
        links.remove(entry.getKey(), entry.getValue());
        locks.remove(entry.getKey());
        unreachableUntilNanos.remove(entry.getKey());
        entry.getValue().close();
      }
    }
  }

  /**
   * Closes links to incarnations of nodes that were replaced, and idle links to unreachable nodes.
   *
   * @param membership the states of the members
   */
  public void closeStale(Membership membership) {
    closeMatching(
        (address, link) ->
            membership
                .member(address.node())
                .filter(member -> shouldClose(member, address, link.hasPending()))
                .isPresent());
  }

  // Probes tell whether the node of a link with pending requests is alive, see checkLiveness().
  // Members may wrongly report a node as dead that is only slow, for example after a restart, and
  // this must not abort its requests.
  static boolean shouldClose(Member member, PeerAddress address, boolean hasPending) {
    boolean replaced = member.incarnation().compareTo(address.incarnation()) > 0;
    return replaced || (!member.reachable() && !hasPending);
  }

  @Override
  public void close() {
    closeMatching((address, link) -> true);
  }

  private final class LinkOwner implements PeerLink.Owner {

    @Override
    public void onLoad(PeerAddress address, LoadReport load) {
      loadListener.onLoad(address, load);
    }

    @Override
    public void onNotice(PeerAddress address, RunNotice notice) {
      notices.onNotice(address.node(), notice);
    }

    @Override
    public ByteBudget budget() {
      return budget;
    }

    @Override
    public TimeSource time() {
      return time;
    }

    @Override
    public void onFailure(PeerAddress address, int openStreams, Throwable cause) {
      metrics.countLinkFailure();
      log.warn(
          "link-failed",
          () ->
              "peer="
                  + address.node()
                  + " requests="
                  + openStreams
                  + " error="
                  + EventLog.quote(cause.toString()));
    }

    @Override
    public void onLateFrame() {
      metrics.countLateFrame();
    }

    @Override
    public void onControlFrame(int bytes) {
      metrics.addControlBytes(bytes);
    }

    @Override
    public void settleLost(PeerLink link, OutboundStream stream) {
      executor.execute(() -> settleNow(link, stream));
    }

    @Override
    public CompletableFuture<Boolean> fenceLost(PeerLink link, OutboundStream stream) {
      return CompletableFuture.supplyAsync(
          () -> settle(link, stream) instanceof Outcome.NotRun<CallResponse>, executor);
    }

    private void settleNow(PeerLink lost, OutboundStream stream) {
      Outcome<CallResponse> outcome = PeerLink.linkLostOutcome();
      try {
        outcome = settle(lost, stream);
      } finally {
        stream.onLinkLost(outcome);
      }
    }

    private Outcome<CallResponse> settle(PeerLink lost, OutboundStream stream) {
      PeerAddress address = lost.address();
      Optional<Frame> reply =
          query(address, id -> settleRequest(id, lost, stream.id()), SETTLE_TIMEOUT_MILLIS);
      boolean fenced =
          reply.isPresent() && reply.get().getSettled().getVerdict() == Settled.Verdict.FENCED;
      return fenced
          ? new Outcome.NotRun<>(ResultCode.FENCED, 0, "fenced after the link was lost")
          : PeerLink.linkLostOutcome();
    }

    private Frame settleRequest(long query, PeerLink lost, long stream) {
      Settle settle =
          Settle.newBuilder()
              .setQuery(query)
              .setEntryIncarnation(lost.incarnation())
              .setConnection(lost.connection())
              .setStream(stream)
              .setTargetIncarnation(lost.address().incarnation().value())
              .build();
      return Frame.newBuilder().setSettle(settle).build();
    }
  }
}
