package org.amaranthmoor.daemon;

import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.random.RandomGenerator;
import org.amaranthmoor.caller.HedgePolicy;
import org.amaranthmoor.caller.LoadShedder;
import org.amaranthmoor.config.TeamWeights;
import org.amaranthmoor.config.Teams;
import org.amaranthmoor.connection.ClientLimits;
import org.amaranthmoor.connection.UnfinishedRequests;
import org.amaranthmoor.daemon.caller.CallerDialect;
import org.amaranthmoor.daemon.caller.CallerHandler;
import org.amaranthmoor.daemon.caller.EntrySide;
import org.amaranthmoor.daemon.caller.Hedging;
import org.amaranthmoor.daemon.caller.NativeCallerDialect;
import org.amaranthmoor.daemon.caller.ReleaseNoteRoutingSource;
import org.amaranthmoor.daemon.caller.RoutingSnapshot;
import org.amaranthmoor.daemon.caller.RoutingSnapshots;
import org.amaranthmoor.daemon.caller.TargetConnector;
import org.amaranthmoor.daemon.caller.TeamQuotas;
import org.amaranthmoor.daemon.exchange.DeadlineWatch;
import org.amaranthmoor.daemon.exchange.RequestFingerprinter;
import org.amaranthmoor.daemon.exchange.RequestQuarantine;
import org.amaranthmoor.daemon.http.HttpListener;
import org.amaranthmoor.daemon.http.ListenerSettings;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.log.FailureLoggingRunner;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.daemon.node.EventLoops;
import org.amaranthmoor.daemon.node.GossipSocket;
import org.amaranthmoor.daemon.node.LeaveExchange;
import org.amaranthmoor.daemon.node.NodeIdentity;
import org.amaranthmoor.daemon.node.NodeQueryHandler;
import org.amaranthmoor.daemon.node.PeerAddress;
import org.amaranthmoor.daemon.node.PeerLinks;
import org.amaranthmoor.daemon.node.PeerServer;
import org.amaranthmoor.daemon.node.SuspicionExchange;
import org.amaranthmoor.daemon.operator.AdminHandler;
import org.amaranthmoor.daemon.operator.NodeGauges;
import org.amaranthmoor.daemon.operator.StatusCollector;
import org.amaranthmoor.daemon.operator.StatusView;
import org.amaranthmoor.daemon.platform.Announcer;
import org.amaranthmoor.daemon.platform.Checkpointer;
import org.amaranthmoor.daemon.platform.Evictor;
import org.amaranthmoor.daemon.platform.HttpPlatformLog;
import org.amaranthmoor.daemon.platform.LogFollower;
import org.amaranthmoor.daemon.platform.PeerStateReader;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.daemon.settings.NodeSettings;
import org.amaranthmoor.daemon.target.CrashListener;
import org.amaranthmoor.daemon.target.LeaseRenewer;
import org.amaranthmoor.daemon.target.NativeTargetDialect;
import org.amaranthmoor.daemon.target.StaticTarget;
import org.amaranthmoor.daemon.target.StoredResponse;
import org.amaranthmoor.daemon.target.TargetConnectionPool;
import org.amaranthmoor.daemon.target.TargetDialect;
import org.amaranthmoor.daemon.target.TargetSide;
import org.amaranthmoor.model.ByteBudget;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.GossipTimings;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.node.MemoryPressure;
import org.amaranthmoor.platform.AnnouncedTarget;
import org.amaranthmoor.platform.ClusterState;
import org.amaranthmoor.platform.PlatformLog;
import org.amaranthmoor.platform.StateHolder;
import org.amaranthmoor.platform.StateReader;
import org.amaranthmoor.target.Admission;
import org.amaranthmoor.target.CrashLedger;
import org.amaranthmoor.target.ExchangeLedger;
import org.amaranthmoor.target.KeyLedger;
import org.amaranthmoor.target.KeyOwners;
import org.amaranthmoor.target.KeyOwnership;
import org.amaranthmoor.target.NoticeCache;
import org.amaranthmoor.target.SuspectRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * A node that is configured by the log: assembles the entry side, the target side, gossip and the
 * reading of the log, and runs their periodic tasks.
 *
 * <p>Safe for use by several threads; {@link #stop} is a planned stop and may be called once.
 */
public final class NodeDaemon {

  private static final int MAX_STORED_KEYS = 60_000;
  private static final int MAX_STORED_RESPONSE_BYTES = 8 << 20;
  private static final long TICK_MILLIS = 100;
  private static final long SLOW_TICK_MILLIS = 1_000;
  private static final long DRAIN_NOTICE_MILLIS = 1_000;
  private static final long IDLE_POLL_MILLIS = 20;
  private static final Optional<String> EVENT_LOOP_ENDED = Optional.of("the event loop ended");

  /** Time before the drain limit by which all calls have their responses, in milliseconds. */
  private static final long ANSWER_RESERVE_MILLIS = 100;

  private final NodeSettings settings;
  private final TimeSource time;
  private final EventLog log;
  private final FailureLoggingRunner tasks;
  private final NodeIdentity identity;
  private final MemoryPressure memoryPressure = new MemoryPressure();
  private final NodeMetrics metrics = new NodeMetrics();
  private final StateHolder stateHolder = new StateHolder();
  private final Membership membership;
  private final CrashLedger crashLedger = new CrashLedger();
  private final SuspicionExchange suspicions;
  private final EventLoopGroup group;
  // A fifth of the heap; the rest is for connections, requests and the state of the node.
  private final ByteBudget bodyBytes = new ByteBudget(Runtime.getRuntime().maxMemory() / 5);
  private final UnfinishedRequests unfinished = new UnfinishedRequests(bodyBytes);
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final DeadlineWatch deadlineWatch = new DeadlineWatch(executor);
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
  private final TeamWeights teamWeights = new TeamWeights(this::teams);
  private final AtomicReference<KeyOwnership> ownership;
  private final TargetSide targetSide;
  private final RoutingSnapshots views;
  private final PeerLinks links;
  private final EntrySide entrySide;
  private final CallerHandler callerHandler;
  private final Announcer announcer;
  private final Checkpointer checkpointer;
  private final Evictor evictor;
  private final LeaseRenewer leaseRenewer;
  private final PeerStateReader peerStateReader;
  private final LogFollower logFollower;
  private final StatusCollector statusCollector;
  private final PeerServer peerServer;
  private final GossipSocket gossip;
  private final HttpListener callerListener;
  private final HttpListener adminListener;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile boolean wasAnnounced;
  private volatile boolean draining;
  private volatile boolean logEndReached;

  /**
   * Creates a node and opens its ports; {@link #start} makes it join the system.
   *
   * @param settings the settings of the node
   * @param time the clock
   * @param log receives events
   * @throws IOException if a port cannot be opened
   */
  public NodeDaemon(NodeSettings settings, TimeSource time, EventLog log) throws IOException {
    this.settings = settings;
    this.time = time;
    this.log = log;
    this.tasks = new FailureLoggingRunner(log, this::onError);
    this.group = EventLoops.create(tasks);
    this.identity = new NodeIdentity(settings.node(), new Incarnation(time.wallMillis() * 1_000));
    this.membership =
        new Membership(
            self(), GossipTimings.standard(), RandomGenerator.getDefault(), time.nanos());
    this.suspicions = new SuspicionExchange(crashLedger, membership, time, log);
    this.ownership = new AtomicReference<>(new KeyOwnership(selfMember()));
    TargetDialect targetDialect = new NativeTargetDialect();
    RequestQuarantine quarantine =
        new RequestQuarantine(
            crashLedger, new RequestFingerprinter(targetDialect.callerHeader()), time);
    this.targetSide = createTargetSide(targetDialect, quarantine);
    this.views =
        new RoutingSnapshots(settings.zone(), RoutingSnapshots.ServicePolicies.defaults(), time);
    this.links =
        new PeerLinks(
            identity,
            group,
            executor,
            views::onLoadReport,
            new NoticeCache(),
            quarantine,
            bodyBytes,
            metrics,
            time,
            log,
            node -> false);
    NodeQueryHandler queries =
        new NodeQueryHandler(settings, identity, stateHolder, ownership, targetSide, views, time);
    // Scheduling delays are not measured here, so the shedder admits every call.
    LoadShedder shedder = new LoadShedder(teamWeights, time.nanos());
    TargetConnector access = new TargetConnector(identity, targetSide, links, executor, time);
    this.entrySide =
        new EntrySide(
            settings.zone(),
            views,
            access,
            links,
            shedder,
            quarantine,
            this::isShortOfMemory,
            TeamQuotas.UNLIMITED,
            new Hedging(new HedgePolicy(0), () -> false, metrics, time, log),
            metrics,
            time,
            log);
    CallerDialect callerDialect = new NativeCallerDialect(time);
    this.callerHandler =
        new CallerHandler(
            views,
            entrySide,
            callerDialect,
            targetSide::runningAttempt,
            deadlineWatch,
            this::onError,
            time,
            log);
    PlatformLog platformLog = new HttpPlatformLog(settings.platform());
    StateReader stateReader = new StateReader(platformLog);
    this.announcer = new Announcer(settings, identity, platformLog, log);
    this.checkpointer =
        new Checkpointer(
            stateReader,
            platformLog,
            stateHolder,
            settings.node(),
            settings.retentionMillis(),
            time,
            log);
    this.evictor = new Evictor(settings.node(), membership, ownership, time);
    this.leaseRenewer = new LeaseRenewer(identity, stateHolder, ownership, links, executor, time);
    this.peerStateReader = new PeerStateReader(links);
    this.logFollower = new LogFollower(stateReader, stateHolder, this::onLogEnd, time, log);
    this.statusCollector =
        new StatusCollector(settings.node(), stateHolder, membership, links, queries, executor);
    stateHolder.addListener(this::onStateChange);
    metrics.registerGauge(
        "amaranthmoor.buffered.bytes",
        "Bytes of requests and of bodies from other nodes that wait to be read",
        bodyBytes::used);
    metrics.registerGauge(
        "amaranthmoor.buffered.bytes.max",
        "Bytes of requests and of bodies from other nodes that may wait to be read",
        bodyBytes::capacity);
    metrics.registerGauge(
        "amaranthmoor.unfinished.bytes",
        "Bytes that unfinished requests hold",
        unfinished::usedBytes);
    metrics.registerGauge(
        "amaranthmoor.unfinished.bytes.max",
        "Bytes that unfinished requests may hold",
        unfinished::capacityBytes);
    metrics.registerCounter(
        "amaranthmoor.requests.closed",
        "Requests closed to make room for others because their clients made little progress",
        unfinished::closedRequests);
    NodeGauges.add(
        metrics,
        targetSide,
        membership,
        crashLedger,
        logFollower::available,
        () -> stateHolder.current().offset(),
        time,
        log);
    this.peerServer =
        new PeerServer(
                settings.host(),
                settings.nodePort(),
                group,
                targetSide,
                new ExchangeLedger(),
                queries,
                suspicions,
                identity,
                executor,
                bodyBytes,
                metrics,
                time,
                log)
            .registerMetrics();
    this.gossip =
        new GossipSocket(
            settings.host(),
            settings.nodePort(),
            group,
            membership,
            peerConfig -> onPeerOffset(peerConfig.offset()),
            suspicions,
            // Targets of this daemon are static and never leave before their node.
            new LeaveExchange(membership, runs -> {}),
            metrics,
            time);
    metrics.registerCounter(
        "amaranthmoor.memory.errors",
        "Failures for want of memory that this node survived",
        memoryPressure::errors);
    this.callerListener =
        new HttpListener(
                HttpListener.open(address(settings.callerPort())),
                callerHandler,
                ListenerSettings.forCallers(
                    () -> connectionRefusal(callerDialect),
                    this::onError,
                    time,
                    log,
                    () -> ClientLimits.DEFAULT,
                    unfinished))
            .registerWith(metrics);
    this.adminListener =
        new HttpListener(
                HttpListener.open(address(settings.adminPort())),
                new AdminHandler(metrics, this::notReadyReason, this::status),
                ListenerSettings.forControl("admin", this::onError, time, log))
            .registerWith(metrics);
  }

  private static ClassicHttpResponse connectionRefusal(CallerDialect dialect) {
    return dialect.notRunResponse(
        new Outcome.NotRun<>(ResultCode.NODE_BUSY, 0, "the node has too many connections"));
  }

  private Teams teams() {
    return views.current().map(RoutingSnapshot::teams).orElse(Teams.NONE);
  }

  private TargetSide createTargetSide(TargetDialect dialect, RequestQuarantine quarantine) {
    Admission admission =
        new Admission(
            new Admission.Limits(
                settings.target().slots(), settings.target().queue(), settings.target().slots(), 0),
            teamWeights,
            RandomGenerator.getDefault(),
            time.nanos());
    KeyLedger<StoredResponse> keyLedger =
        new KeyLedger<>(MAX_STORED_KEYS, MAX_STORED_RESPONSE_BYTES, StoredResponse::bytes);
    NodeSettings.TargetSettings target = settings.target();
    TargetConnectionPool connections =
        new TargetConnectionPool(target.connections(), target.idleTimeoutMillis(), time);
    return new TargetSide(
        admission,
        keyLedger,
        ownership,
        new StaticTarget(target.address()),
        dialect,
        connections,
        deadlineWatch,
        quarantine,
        new CrashReporter(),
        metrics,
        time,
        log);
  }

  private final class CrashReporter implements CrashListener {

    @Override
    public void onCrash(List<SuspectRequest> suspects) {
      gossip.send(suspicions.announcements(suspects));
    }

    @Override
    public void onQuarantineLifted() {
      suspicions.refresh();
    }
  }

  private InetSocketAddress address(int port) {
    return new InetSocketAddress(settings.host(), port);
  }

  private Member self() {
    return new Member(
        settings.node(),
        identity.incarnation(),
        Member.Liveness.ALIVE,
        settings.host(),
        settings.nodePort(),
        settings.zone(),
        settings.region(),
        false,
        0);
  }

  private KeyOwners.Member selfMember() {
    return new KeyOwners.Member(settings.node(), identity.incarnation());
  }

  /** Starts reading the log, contacts the peers and starts the periodic tasks. */
  public void start() {
    logFollower.start();
    settings.peers().forEach(this::sendSyncRequest);
    schedulePeriodically(this::tick, TICK_MILLIS);
    schedulePeriodically(this::slowTick, SLOW_TICK_MILLIS);
    log.info(
        "node-started",
        () ->
            "node="
                + settings.node()
                + " incarnation="
                + identity.incarnation()
                + " caller-port="
                + settings.callerPort()
                + " node-port="
                + settings.nodePort()
                + " admin-port="
                + settings.adminPort());
  }

  private void schedulePeriodically(Runnable task, long periodMillis) {
    var unused =
        scheduler.scheduleWithFixedDelay(
            () -> tasks.run(task), periodMillis, periodMillis, TimeUnit.MILLISECONDS);
  }

  private void sendSyncRequest(Endpoint peer) {
    gossip.send(List.of(membership.syncRequest(peer.host(), peer.port())));
  }

  private void onStateChange(ClusterState state, boolean contiguous) {
    state.announcedTargets().values().forEach(announced -> membership.learn(toMember(announced)));
    membership.setConfigOffset(state.offset());
    updateStandingAndKeyOwnership(state, contiguous);
    views.rebuild(new ReleaseNoteRoutingSource(state, membership));
  }

  private void updateStandingAndKeyOwnership(ClusterState state, boolean contiguous) {
    Announcer.Standing standing = announcer.standing(state, wasAnnounced);
    switch (standing) {
      case ANNOUNCED -> wasAnnounced = true;
      case EVICTED -> rejoin();
      case MISSING -> {}
    }
    Optional<ServiceName> service = state.serviceOf(settings.target().name());
    KeyOwners keyOwners =
        service.map(name -> KeyOwners.of(state, name)).orElseGet(() -> new KeyOwners(List.of()));
    ownership.get().onMembers(keyOwners, contiguous, time.wallMillis());
  }

  // A node that was evicted while it was alive rejoins with a new incarnation.
  private void rejoin() {
    if (draining) {
      return;
    }
    Incarnation fresh = identity.advanceIncarnation(time.wallMillis());
    wasAnnounced = false;
    announcer.allowImmediateAnnouncement();
    ownership.set(new KeyOwnership(selfMember()));
    membership.setIncarnation(fresh);
    log.warn("evicted-while-alive", () -> "incarnation=" + fresh);
  }

  private static Member toMember(AnnouncedTarget announced) {
    return new Member(
        announced.node(),
        announced.incarnation(),
        Member.Liveness.ALIVE,
        announced.host(),
        announced.port(),
        announced.zone(),
        announced.region(),
        false,
        0);
  }

  private void onLogEnd(long startedNanos) {
    logEndReached = true;
    ownership.get().onLogRead(startedNanos);
  }

  private void onPeerOffset(long offset) {
    if (offset > stateHolder.current().offset() && !logFollower.available()) {
      executor.execute(() -> tasks.run(this::readStateFromPeer));
    }
  }

  private void readStateFromPeer() {
    List<Member> peers =
        membership.members().stream()
            .filter(member -> member.reachable() && !member.node().equals(settings.node()))
            .toList();
    if (peers.isEmpty()) {
      return;
    }
    Member peer = peers.get(ThreadLocalRandom.current().nextInt(peers.size()));
    PeerAddress address =
        new PeerAddress(peer.node(), peer.incarnation(), peer.host(), peer.port());
    peerStateReader
        .read(address, stateHolder.current().offset())
        .ifPresent(
            state -> {
              if (stateHolder.advance(state, false)) {
                log.info(
                    "state-from-peer", () -> "peer=" + peer.node() + " offset=" + state.offset());
              }
            });
  }

  private void tick() {
    tasks.run(() -> deadlineWatch.abortOverdue(time.nanos()));
    tasks.run(suspicions::refresh);
    tasks.run(gossip::tick);
    tasks.run(
        () ->
            links
                .checkLiveness()
                .forEach(address -> log.warn("link-silent", () -> "peer=" + address.node())));
  }

  private void slowTick() {
    tasks.run(
        () -> {
          ClusterState state = stateHolder.current();
          views.rebuild(new ReleaseNoteRoutingSource(state, membership));
          executor.execute(() -> tasks.run(this::announceIfMissing));
          leaseRenewer.renewAll();
          evictor.dueEvictions(state).forEach(this::evict);
          List<NodeName> reachable =
              membership.members().stream().filter(Member::reachable).map(Member::node).toList();
          executor.execute(() -> tasks.run(() -> checkpointer.runIfDue(reachable)));
          links.closeStale(membership);
          if (state.offset() == ClusterState.NO_OFFSET) {
            settings.peers().forEach(this::sendSyncRequest);
          }
        });
  }

  private void announceIfMissing() {
    boolean missing =
        announcer.standing(stateHolder.current(), wasAnnounced) == Announcer.Standing.MISSING;
    if (missing && !draining && logEndReached) {
      tasks.run(() -> announcer.announce(time.nanos()));
    }
  }

  private void evict(Member dead) {
    ownership.get().onEvictionRequested();
    executor.execute(() -> tasks.run(() -> announcer.evict(dead.node(), dead.incarnation())));
  }

  private String notReadyReason() {
    if (draining) {
      return "draining";
    }
    if (memoryPressure.isShort(time.nanos())) {
      return "short of memory";
    }
    return views.current().isPresent() ? "" : "no configuration yet";
  }

  /** {@return the metrics of this node} */
  public NodeMetrics metrics() {
    return metrics;
  }

  /**
   * Records a failure that this node survived.
   *
   * @param error the failure
   */
  public void onError(Throwable error) {
    memoryPressure.onError(error, time.nanos());
  }

  private boolean isShortOfMemory() {
    return bodyBytes.isNearlyUsed() || memoryPressure.isShort(time.nanos());
  }

  /** {@return why this node cannot serve any more although it was not stopped, or empty} */
  public Optional<String> failure() {
    return group.isShuttingDown() && !closed.get() ? EVENT_LOOP_ENDED : Optional.empty();
  }

  /**
   * Stops as planned: the target side refuses new requests at once, the node announces its leave,
   * serves callers until they have had notice of it, lets requests in progress end, and closes.
   *
   * <p>Blocks until all is closed, at most a little longer than the drain limit.
   *
   * @return whether every request in progress ended within the limit
   */
  public boolean stop() {
    draining = true;
    log.info("drain-started", () -> "in-progress=" + inProgress());
    membership.leave();
    targetSide.drain();
    callerHandler.closeConnectionsAfterResponse();
    tasks.run(announcer::leave);
    long deadlineNanos = time.nanos() + TimeUnit.MILLISECONDS.toNanos(settings.drainLimitMillis());
    long noticeEndNanos = time.nanos() + TimeUnit.MILLISECONDS.toNanos(DRAIN_NOTICE_MILLIS);
    entrySide.limitDeadlines(deadlineNanos - TimeUnit.MILLISECONDS.toNanos(ANSWER_RESERVE_MILLIS));
    sleepUntil(noticeEndNanos);
    callerHandler.refuseNewCalls();
    boolean finished = awaitIdle(deadlineNanos);
    log.info("drain-ended", () -> "finished=" + finished + " in-progress=" + inProgress());
    halt();
    return finished;
  }

  private void sleepUntil(long nanos) {
    for (long left = nanos - time.nanos(); left > 0; left = nanos - time.nanos()) {
      if (!sleep(left)) {
        return;
      }
    }
  }

  // Returns whether no request is in progress any more.
  private boolean awaitIdle(long deadlineNanos) {
    while (!isIdle() && time.nanos() < deadlineNanos) {
      if (!sleep(TimeUnit.MILLISECONDS.toNanos(IDLE_POLL_MILLIS))) {
        return false;
      }
    }
    return inProgress() == 0;
  }

  // Returns false if the thread was interrupted.
  private static boolean sleep(long nanos) {
    try {
      TimeUnit.NANOSECONDS.sleep(nanos);
      return true;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    }
  }

  private int inProgress() {
    return targetSide.inProgress() + callerHandler.callsInProgress();
  }

  // Also waits for requests that have arrived and not been read, and for refusals, as long as there
  // is time.
  private boolean isIdle() {
    return inProgress() == 0 && callerListener.busyConnections() == 0;
  }

  /** {@return the status of the system as this node sees it; blocks for about a second at most} */
  public StatusView status() {
    return statusCollector.collect(logFollower.available());
  }

  /** Closes at once, as if the process were killed; does nothing if the node has stopped. */
  public void halt() {
    if (closed.compareAndSet(false, true)) {
      close();
    }
  }

  private void close() {
    scheduler.shutdownNow();
    logFollower.close();
    callerListener.close();
    adminListener.close();
    peerServer.close();
    gossip.close();
    links.close();
    executor.shutdownNow();
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }
}
