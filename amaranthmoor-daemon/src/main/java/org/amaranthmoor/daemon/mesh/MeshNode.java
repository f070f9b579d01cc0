package org.amaranthmoor.daemon.mesh;

import io.netty.channel.EventLoopGroup;
import java.net.ServerSocket;
import java.time.Duration;
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
import org.amaranthmoor.balance.PickPolicy;
import org.amaranthmoor.caller.HedgePolicy;
import org.amaranthmoor.caller.LoadShedder;
import org.amaranthmoor.caller.RetryBudget;
import org.amaranthmoor.config.TeamWeights;
import org.amaranthmoor.config.Teams;
import org.amaranthmoor.connection.ClientLimits;
import org.amaranthmoor.connection.UnfinishedRequests;
import org.amaranthmoor.daemon.caller.CallerDialect;
import org.amaranthmoor.daemon.caller.CallerHandler;
import org.amaranthmoor.daemon.caller.EntrySide;
import org.amaranthmoor.daemon.caller.Hedging;
import org.amaranthmoor.daemon.caller.RoutingSnapshot;
import org.amaranthmoor.daemon.caller.RoutingSnapshots;
import org.amaranthmoor.daemon.caller.TargetConnector;
import org.amaranthmoor.daemon.exchange.DeadlineWatch;
import org.amaranthmoor.daemon.exchange.RequestFingerprinter;
import org.amaranthmoor.daemon.exchange.RequestQuarantine;
import org.amaranthmoor.daemon.exchange.TimedExecutor;
import org.amaranthmoor.daemon.http.HttpListener;
import org.amaranthmoor.daemon.http.ListenerSettings;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.log.FailureLoggingRunner;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.daemon.node.EventLoops;
import org.amaranthmoor.daemon.node.GossipSocket;
import org.amaranthmoor.daemon.node.LeaveExchange;
import org.amaranthmoor.daemon.node.NodeIdentity;
import org.amaranthmoor.daemon.node.PeerAddress;
import org.amaranthmoor.daemon.node.PeerLinks;
import org.amaranthmoor.daemon.node.PeerServer;
import org.amaranthmoor.daemon.node.SuspicionExchange;
import org.amaranthmoor.daemon.operator.NodeGauges;
import org.amaranthmoor.daemon.quota.QuotaService;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.daemon.target.CrashListener;
import org.amaranthmoor.daemon.target.HealthCheckClient;
import org.amaranthmoor.daemon.target.RegisteredTarget;
import org.amaranthmoor.daemon.target.TargetConnectionPool;
import org.amaranthmoor.daemon.target.TargetDialect;
import org.amaranthmoor.daemon.target.TargetProbe;
import org.amaranthmoor.daemon.target.TargetSide;
import org.amaranthmoor.model.ByteBudget;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.ConfigReadPolicy;
import org.amaranthmoor.node.ConfigReaders;
import org.amaranthmoor.node.EvacuatedZones;
import org.amaranthmoor.node.GossipTimings;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.MemberChanges;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.node.MemoryPressure;
import org.amaranthmoor.node.ReadWaitPolicy;
import org.amaranthmoor.node.SourceEpochTracker;
import org.amaranthmoor.protocol.node.Frame;
import org.amaranthmoor.protocol.node.QuotaReply;
import org.amaranthmoor.protocol.node.QuotaRequest;
import org.amaranthmoor.target.Admission;
import org.amaranthmoor.target.ColdStart;
import org.amaranthmoor.target.CrashLedger;
import org.amaranthmoor.target.ExchangeLedger;
import org.amaranthmoor.target.KeyLedger;
import org.amaranthmoor.target.KeyOwners;
import org.amaranthmoor.target.KeyOwnership;
import org.amaranthmoor.target.NoticeCache;
import org.amaranthmoor.target.SuspectRequest;
import org.amaranthmoor.target.TargetHealth;
import org.amaranthmoor.target.TargetLifecycle;
import org.amaranthmoor.target.TargetRun;
import org.apache.hc.core5.http.ClassicHttpResponse;

/**
 * A node of a mesh: assembles the entry side, the target side, gossip and the reading of the
 * configuration, and runs their periodic tasks.
 *
 * <p>Safe for use by several threads; {@link #stop} is a planned stop and may be called once.
 */
public final class MeshNode {

  /** Period of gossip, link supervision and the other periodic tasks, in milliseconds. */
  private static final long TICK_MILLIS = 100;

  /** Number of servers of a zone that are compared for a call. */
  private static final int SAMPLE_SIZE = 8;

  /** Smallest number of nodes by which the retry slack is divided, used while few are known. */
  private static final int MIN_NODES = 8;

  /**
   * Share of the retry slack that is used; the rest is a reserve for retries that several windows
   * of the limit share.
   */
  private static final double USED_SLACK_SHARE = 0.8;

  /**
   * Time after the start of a stop in which callers may still send requests, in milliseconds; they
   * leave after two failed readiness checks.
   */
  private static final long CALLER_DRAIN_MILLIS = 3_000;

  /**
   * Part of the grace period that is reserved for closing, in milliseconds; closing takes less even
   * on a slow machine.
   */
  private static final long STOP_RESERVE_MILLIS = 600;

  /** Time before the end of a stop by which all calls have their responses, in milliseconds. */
  private static final long ANSWER_RESERVE_MILLIS = 100;

  /** Longest wait for the network threads to end, in milliseconds. */
  private static final long NETWORK_SHUTDOWN_TIMEOUT_MILLIS = 100;

  /** Interval at which the peers of the settings are contacted, in milliseconds. */
  private static final long PEER_SEARCH_INTERVAL_MILLIS = 1_000;

  private static final long IDLE_POLL_MILLIS = 20;

  /**
   * Longest time that a target's report waits for this node's first configuration, in milliseconds;
   * the target waits one second for the acknowledgement.
   */
  private static final long FIRST_CONFIG_TIMEOUT_MILLIS = 800;

  /** Largest number of idle connections to the target. */
  private static final int MAX_IDLE_CONNECTIONS = 32;

  /** Time after which an idle connection to the target is not reused, in milliseconds. */
  private static final long IDLE_CONNECTION_TIMEOUT_MILLIS = 2_000;

  private static final int INITIAL_SLOTS = 1;

  private static final Optional<String> EVENT_LOOP_ENDED = Optional.of("the event loop ended");

  private final MeshSettings settings;
  private final TimeSource time;
  private final EventLog log;
  private final FailureLoggingRunner tasks;
  private final NodeIdentity identity;
  private final MemoryPressure memoryPressure = new MemoryPressure();
  private final NodeMetrics metrics = new NodeMetrics();
  private final ConfigHolder configHolder = new ConfigHolder();
  private final ConfigLog configLog;
  private final ConfigReadPolicy readPolicy;
  private final ReadWaitPolicy readWaitPolicy;
  private final SourceEpochTracker epochTracker;
  private final EvacuatedZones evacuatedZones = new EvacuatedZones();
  private final Membership membership;
  private final CrashLedger crashLedger = new CrashLedger();
  private final SuspicionExchange suspicions;
  private final LeaveExchange leaves;
  private final EventLoopGroup group;
  // A fifth of the heap; the rest is for connections, requests and the state of the node.
  private final ByteBudget bodyBytes = new ByteBudget(Runtime.getRuntime().maxMemory() / 5);
  private final UnfinishedRequests unfinished = new UnfinishedRequests(bodyBytes);
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final DeadlineWatch deadlineWatch = new DeadlineWatch(executor);
  private final TeamWeights teamWeights = new TeamWeights(this::teams);
  private final LoadShedder shedder;
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
  private final TargetLifecycle lifecycle;
  private final HealthCheckClient healthCheckClient;
  private final TargetSide targetSide;
  private final RestartConfirmation confirmation;
  private final TargetRegistry registry;
  private final RoutingSnapshots views;
  private final PeerLinks links;
  private final QuotaService quotas;
  private final EntrySide entrySide;
  private final CallerHandler callerHandler;
  private final InstanceDirectory directory;
  private final ConfigFollower follower;
  private final PeerConfigReader peerConfigReader;
  private final PeerServer peerServer;
  private final GossipSocket gossip;
  private final HttpListener callerListener;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile boolean stopping;
  private volatile ConfigReaders configReaders = ConfigReaders.NONE;
  // This node's part of the retries that all nodes together may save up beyond the retry share.
  private volatile int retryBurst;
  private long lastViewHash;
  // Whether what this node routes by and announces lacks a change that is in force.
  private volatile boolean viewsOutdated;
  private final MemberChanges memberChanges = new MemberChanges();
  private long nextPeerSearchNanos;
  private long lastTickNanos;
  private boolean overloaded;
  // Created once, because a tick that fails must not end the schedule.
  private final Runnable tick = this::tick;
  // The newest epoch of the source that handleEpochChange has processed.
  private SourceEpoch handledEpoch = SourceEpoch.UNKNOWN;

  /**
   * Creates a node and opens its ports; {@link #start} makes it join the mesh.
   *
   * @param settings the settings of the node
   * @param callerSocket the open port for callers, from which connections are accepted once the
   *     node can serve them
   * @param records the records that all nodes share
   * @param feed reads the configuration
   * @param epochTracker tracks the epochs of the source that stores the records and the
   *     configuration
   * @param callerDialect translates requests and responses of callers
   * @param targetDialect translates requests to the target and its responses
   * @param time the clock
   * @param log receives events
   */
  public MeshNode(
      MeshSettings settings,
      ServerSocket callerSocket,
      SharedRecords records,
      ConfigFeed feed,
      SourceEpochTracker epochTracker,
      CallerDialect callerDialect,
      TargetDialect targetDialect,
      TimeSource time,
      EventLog log) {
    this.settings = settings;
    this.retryBurst = retryBurstFor(1);
    this.time = time;
    this.log = log;
    this.configLog = new ConfigLog(time, log);
    this.tasks = new FailureLoggingRunner(log, this::onError);
    this.group = EventLoops.create(tasks);
    this.identity = new NodeIdentity(settings.node(), new Incarnation(time.wallMillis() * 1_000));
    this.membership =
        new Membership(
            self(), GossipTimings.standard(), RandomGenerator.getDefault(), time.nanos());
    this.suspicions = new SuspicionExchange(crashLedger, membership, time, log);
    this.leaves = new LeaveExchange(membership, this::onEarlierLeaves);
    this.readPolicy = new ConfigReadPolicy(settings.node());
    this.readWaitPolicy = new ReadWaitPolicy(settings.node(), settings.configBound());
    this.epochTracker = epochTracker;
    this.lifecycle = new TargetLifecycle(settings.firstStart());
    TargetHealth health = new TargetHealth();
    RequestQuarantine quarantine =
        new RequestQuarantine(
            crashLedger, new RequestFingerprinter(targetDialect.callerHeader()), time);
    TargetConnectionPool connections =
        new TargetConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_CONNECTION_TIMEOUT_MILLIS, time);
    this.healthCheckClient = new HealthCheckClient(connections, targetDialect);
    this.targetSide = createTargetSide(health, targetDialect, connections, quarantine);
    this.views =
        new RoutingSnapshots(
            settings.zone(),
            new RoutingSnapshots.ServicePolicies(
                spec -> new PickPolicy.ZoneFirst(SAMPLE_SIZE),
                spec -> RetryBudget.empty(spec.retryShare(), () -> retryBurst)),
            time);
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
            this::isInOtherZone);
    this.quotas =
        new QuotaService(
            settings.node(),
            settings.quotaBound(),
            () -> views.current().map(RoutingSnapshot::teams).orElse(Teams.NONE),
            this::queryQuota,
            executor,
            metrics,
            time,
            log);
    this.shedder = new LoadShedder(teamWeights, time.nanos());
    TimedExecutor timed =
        new TimedExecutor(executor, delay -> shedder.onSchedulingDelay(delay, time.nanos()), time);
    TargetConnector access = new TargetConnector(identity, targetSide, links, timed, time);
    this.entrySide =
        new EntrySide(
            settings.zone(),
            views,
            access,
            links,
            shedder,
            quarantine,
            this::isShortOfMemory,
            quotas,
            new Hedging(
                new HedgePolicy(settings.hedgeShare()), this::isOverloaded, metrics, time, log),
            metrics,
            time,
            log);
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
    this.directory =
        new InstanceDirectory(
            settings,
            records,
            epochTracker,
            crashLedger,
            this::onRecordsRead,
            this::announceLeaves,
            time,
            log);
    this.confirmation =
        new RestartConfirmation(
            lifecycle, this::healthCheck, healthCheckClient, targetDialect, executor, time, log);
    this.registry =
        new TargetRegistry(
            lifecycle,
            health,
            targetSide,
            membership,
            directory,
            this::isKnownService,
            this::coldStart,
            () -> isOwnZoneEvacuated(time.nanos()),
            this::announceOwnState,
            confirmation,
            time,
            log);
    this.follower =
        new ConfigFollower(
            feed, this::onFeedConfig, this::onZoneUpdate, readPolicy, readWaitPolicy, time, log);
    this.peerConfigReader =
        new PeerConfigReader(
            settings.zone(),
            membership,
            links,
            configHolder,
            feed,
            this::onPeerConfig,
            readPolicy,
            log);
    this.peerServer =
        new PeerServer(
                settings.nodeEndpoint().host(),
                settings.nodeEndpoint().port(),
                group,
                targetSide,
                new ExchangeLedger(),
                new MeshQueries(settings, identity, configHolder, targetSide, views, quotas),
                suspicions,
                identity,
                timed,
                bodyBytes,
                metrics,
                time,
                log)
            .registerMetrics();
    this.gossip =
        new GossipSocket(
            settings.nodeEndpoint().host(),
            settings.nodeEndpoint().port(),
            group,
            membership,
            this::onPeerConfigState,
            suspicions,
            leaves,
            metrics,
            time);
    this.nextPeerSearchNanos = time.nanos();
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
        follower::available,
        configHolder::version,
        time,
        log);
    metrics.registerCounter(
        "amaranthmoor.memory.errors",
        "Failures for want of memory that this node survived",
        memoryPressure::errors);
    this.callerListener =
        new HttpListener(
                callerSocket,
                callerHandler,
                ListenerSettings.forCallers(
                    () -> connectionRefusal(callerDialect),
                    this::onError,
                    time,
                    log,
                    () ->
                        configHolder
                            .current()
                            .map(RoutingConfig::limits)
                            .orElse(ClientLimits.DEFAULT),
                    unfinished))
            .registerWith(metrics);
  }

  private static ClassicHttpResponse connectionRefusal(CallerDialect dialect) {
    return dialect.notRunResponse(
        new Outcome.NotRun<>(ResultCode.NODE_BUSY, 0, "the node has too many connections"));
  }

  private Teams teams() {
    return views.current().map(RoutingSnapshot::teams).orElse(Teams.NONE);
  }

  private TargetSide createTargetSide(
      TargetHealth health,
      TargetDialect dialect,
      TargetConnectionPool connections,
      RequestQuarantine quarantine) {
    Admission admission =
        new Admission(
            new Admission.Limits(INITIAL_SLOTS, 0, INITIAL_SLOTS, 0),
            teamWeights,
            RandomGenerator.getDefault(),
            time.nanos());
    TargetProbe probe =
        new TargetProbe(
            this::targetHealthCheck, healthCheckClient, dialect, admission, executor, time, log);
    admission.setSpeedProbe(probe::probe);
    // Retries of callers carry no idempotency keys here, so no key is ever claimed or stored.
    KeyOwnership noOwnership =
        new KeyOwnership(new KeyOwners.Member(settings.node(), identity.incarnation()));
    return new TargetSide(
        admission,
        new KeyLedger<>(1, 1, answer -> 0),
        new AtomicReference<>(noOwnership),
        new RegisteredTarget(
            lifecycle, health, this::isOwnZoneEvacuated, this::onLeaveDetected, log),
        dialect,
        connections,
        deadlineWatch,
        quarantine,
        new CrashReporter(),
        metrics,
        time,
        log);
  }

  // Storing the leave may block for as long as a write to the shared records.
  private void onLeaveDetected(TargetRun run) {
    executor.execute(() -> tasks.run(() -> registry.onLeave(run)));
  }

  private void announceLeaves(List<TargetRun> runs) {
    gossip.send(leaves.announcements(runs));
  }

  // An earlier process of this node announced these leaves, and the shared records may lack them.
  private void onEarlierLeaves(List<TargetRun> runs) {
    List<TargetRun> unknown = runs.stream().filter(run -> !lifecycle.isGone(run)).toList();
    unknown.forEach(this::recordEarlierLeave);
  }

  private void recordEarlierLeave(TargetRun run) {
    log.info("leave-learned", () -> "run=" + EventLog.quote(run.id()));
    // Before the executor runs, so that no request is handed over meanwhile.
    lifecycle.onGone(run);
    onLeaveDetected(run);
  }

  // Sends suspicions to the other nodes, and stores a quarantine.
  private final class CrashReporter implements CrashListener {

    @Override
    public void onCrash(List<SuspectRequest> suspects) {
      gossip.send(suspicions.announcements(suspects));
      boolean quarantined =
          suspects.stream()
              .anyMatch(suspect -> suspect.suspicion().crashes() >= CrashLedger.QUARANTINE_CRASHES);
      if (quarantined) {
        log.warn(
            "quarantine",
            () -> "requests=" + crashLedger.quarantinedCount(time.nanos()) + " source=crash");
        directory.storeQuarantine();
      }
    }

    @Override
    public void onQuarantineLifted() {
      suspicions.refresh();
      directory.storeQuarantine();
    }
  }

  private Optional<HealthCheckClient.HealthCheck> targetHealthCheck() {
    long now = time.nanos();
    return lifecycle
        .ready(now)
        .filter(ready -> !isOwnZoneEvacuated(now))
        .flatMap(this::healthCheck);
  }

  private Optional<HealthCheckClient.HealthCheck> healthCheck(TargetLifecycle.Report report) {
    Endpoint address = new Endpoint(report.host(), report.port());
    return configHolder
        .current()
        .map(config -> config.healthPaths().get(report.serving().service()))
        .map(path -> new HealthCheckClient.HealthCheck(address, path));
  }

  private Member self() {
    return new Member(
        settings.node(),
        identity.incarnation(),
        Member.Liveness.ALIVE,
        settings.nodeEndpoint().host(),
        settings.nodeEndpoint().port(),
        settings.zone(),
        settings.region(),
        true,
        0);
  }

  private boolean isInOtherZone(NodeName node) {
    return membership
        .member(node)
        .map(member -> !member.zone().equals(settings.zone()))
        .orElse(false);
  }

  private boolean isInOwnZone(String node) {
    return Names.isName(node)
        && membership
            .member(new NodeName(node))
            .filter(member -> member.zone().equals(settings.zone()))
            .isPresent();
  }

  private int retryBurstFor(int members) {
    int nodes = Math.max(MIN_NODES, members);
    return (int) Math.max(1, settings.retrySlack() * USED_SLACK_SHARE / nodes);
  }

  /** Starts reading the configuration and the shared records, and the periodic tasks. */
  public void start() {
    follower.start();
    directory.start();
    lastTickNanos = time.nanos();
    var unused =
        scheduler.scheduleWithFixedDelay(
            () -> tasks.run(tick), TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    log.info(
        "node-started",
        () ->
            "node="
                + settings.node()
                + " incarnation="
                + identity.incarnation()
                + " zone="
                + settings.zone()
                + " callers="
                + settings.callerEndpoint()
                + " nodes="
                + settings.nodeEndpoint()
                + " first-start="
                + settings.firstStart());
  }

  /** {@return the registry that receives the reports of the target beside this node} */
  public TargetRegistry registry() {
    return registry;
  }

  /** {@return the metrics of this node} */
  public NodeMetrics metrics() {
    return metrics;
  }

  /** {@return the version of the configuration in force, or -1 before the first} */
  public long configVersion() {
    return configHolder.version();
  }

  /** {@return whether callers may send requests here} */
  public boolean ready() {
    return !stopping && views.current().isPresent() && !memoryPressure.isShort(time.nanos());
  }

  private boolean isOverloaded() {
    return shedder.admittedShare() < 1 || isShortOfMemory();
  }

  private boolean isShortOfMemory() {
    return bodyBytes.isNearlyUsed() || memoryPressure.isShort(time.nanos());
  }

  /**
   * Records a failure that this node survived.
   *
   * @param error the failure
   */
  public void onError(Throwable error) {
    memoryPressure.onError(error, time.nanos());
  }

  /** {@return why this node cannot serve any more although it was not stopped, or empty} */
  public Optional<String> failure() {
    return group.isShuttingDown() && !closed.get() ? EVENT_LOOP_ENDED : Optional.empty();
  }

  // A target reports as soon as it has started. After a power loss this is before the node has its
  // configuration, and a target whose report is not acknowledged retries only much later.
  private boolean isKnownService(ServiceName service) {
    configHolder.awaitFirst(FIRST_CONFIG_TIMEOUT_MILLIS);
    return configHolder
        .current()
        .map(config -> config.services().containsKey(service))
        .orElse(false);
  }

  private ColdStart coldStart(ServiceName service) {
    return configHolder
        .current()
        .map(config -> config.coldStart(service))
        .orElse(ColdStart.UNLIMITED);
  }

  private void onRecordsRead(InstanceDirectory.Contents contents) {
    contents.leftRuns().forEach(lifecycle::onGone);
    leaves.setOwnLeaves(directory.leftRuns());
    if (contents.historyKnown()) {
      confirmation.onRecordsComplete();
    }
    contents.others().forEach(membership::learn);
    quotas.onRecordsRead();
    crashLedger.merge(contents.quarantine(), time.nanos());
    suspicions.refresh();
    registry.refresh();
    log.info(
        "directory-read",
        () ->
            "others="
                + contents.others().size()
                + " left-runs="
                + contents.leftRuns().size()
                + " whole-history="
                + contents.historyKnown()
                + " quarantined="
                + crashLedger.quarantinedCount(time.nanos())
                + " epoch="
                + epochTracker.newest());
    gossip.send(membership.initialSyncRequests());
  }

  private void onFeedConfig(RoutingConfig config) {
    if (putInForce(config, "feed")) {
      sendHeartbeatIfDue(true);
    }
  }

  // A version that came from another zone may be new to all nodes of the own zone.
  private void onPeerConfig(RoutingConfig config, Member peer) {
    boolean inOwnZone = peer.zone().equals(settings.zone());
    if (putInForce(config, peer.node().value()) && !inOwnZone) {
      announceToOwnZone();
    }
  }

  // The readers of other zones may have lost the response that would have told them of a change.
  private void sendHeartbeatIfDue(boolean isNew) {
    Optional<Duration> answerAge = follower.answerAge();
    if (readPolicy.claimHeartbeat(answerAge.isPresent(), isNew, time.nanos())) {
      gossip.send(membership.configAnnouncements(answerAge));
      if (isNew) {
        gossip.send(membership.configAnnouncementsTo(configReaders.inOtherZones()));
      }
    }
  }

  private void announceToOwnZone() {
    gossip.send(membership.configAnnouncements(Optional.empty()));
  }

  // Returns whether the configuration is newer than the one that was in force.
  private boolean putInForce(RoutingConfig config, String source) {
    long before = configHolder.version();
    boolean isNew = configHolder.advance(config);
    if (isNew) {
      viewsOutdated = true;
      membership.setConfigOffset(config.version());
      rebuildViews();
      configLog.onInForce(config, before, source);
    } else {
      configLog.onNotNewer(config.version(), configHolder.version(), source);
    }
    return isNew;
  }

  private synchronized void rebuildViews() {
    viewsOutdated = true;
    configHolder
        .current()
        .ifPresent(
            config ->
                views.rebuild(
                    new MeshDeployment(
                        config,
                        membership,
                        registry.servedService(),
                        evacuatedZones.zones(time.nanos()))));
    viewsOutdated = false;
  }

  // Repeats what a failure kept from being applied, as nothing else may change for a long time.
  private void applyMissedChanges() {
    if (viewsOutdated) {
      membership.setConfigOffset(configHolder.version());
      membership.setEvacuatedZones(evacuatedZones.state());
      rebuildViews();
    }
  }

  private boolean isOwnZoneEvacuated(long nowNanos) {
    return evacuatedZones.contains(settings.zone(), nowNanos);
  }

  private void onZoneUpdate(ConfigFeed.ZoneUpdate update, ConfigFeed.Position position) {
    long now = time.nanos();
    boolean changed =
        switch (update) {
          case ConfigFeed.ZoneUpdate.All all ->
              evacuatedZones.onState(
                  new EvacuatedZones.State(position.epoch(), position.offset(), all.zones()), now);
          case ConfigFeed.ZoneUpdate.Changes changes ->
              evacuatedZones.onChanges(
                  changes.evacuated(), position.epoch(), position.offset(), now);
        };
    if (changed) {
      viewsOutdated = true;
    }
    membership.setEvacuatedZones(evacuatedZones.state());
    if (changed) {
      applyEvacuatedZones("feed");
      sendHeartbeatIfDue(true);
    }
  }

  private void onPeerEvacuatedZones(GossipSocket.PeerConfig peer) {
    EvacuatedZones.State before = evacuatedZones.state();
    boolean changed = evacuatedZones.onState(peer.evacuatedZones(), time.nanos());
    if (changed) {
      viewsOutdated = true;
    }
    if (!evacuatedZones.state().equals(before)) {
      membership.setEvacuatedZones(evacuatedZones.state());
    }
    if (changed) {
      applyEvacuatedZones(peer.node());
      if (!isInOwnZone(peer.node())) {
        announceToOwnZone();
      }
    }
  }

  private void applyEvacuatedZones(String source) {
    EvacuatedZones.State state = evacuatedZones.state();
    log.info(
        "zones-evacuated",
        () ->
            "zones="
                + evacuatedZones.zones(time.nanos())
                + " epoch="
                + state.epoch()
                + " offset="
                + state.offset()
                + " source="
                + EventLog.quote(source));
    registry.refresh();
    rebuildViews();
  }

  // A heartbeat counts only with the newest epoch, because a peer that reads the source in an
  // earlier epoch may miss what was written since.
  private void onPeerConfigState(GossipSocket.PeerConfig state) {
    epochTracker.onEpochSeen(state.epoch());
    onPeerEvacuatedZones(state);
    boolean newest = state.epoch().equals(epochTracker.newest());
    if (state.readsSource() && newest && isInOwnZone(state.node())) {
      readPolicy.onReaderHeartbeat(time.nanos());
      state
          .sourceAnswerAge()
          .ifPresent(age -> readPolicy.onReaderAnswered(time.nanos() - age.toNanos()));
    }
    follower.onPeerPosition(
        new ConfigFeed.Position(state.evacuatedZones().epoch(), state.evacuatedZones().offset()));
    if (state.offset() > configHolder.version()) {
      configLog.onAnnounced(state.offset(), configHolder.version(), state.node());
      executor.execute(
          () -> tasks.run(() -> peerConfigReader.fetchIfStillNewer(state.node(), state.offset())));
    }
  }

  // Handles a new epoch of the source, whether this node or a peer detected it: the position of the
  // follower is invalid, and this node's record must be written again.
  private void handleEpochChange() {
    SourceEpoch before = handledEpoch;
    SourceEpoch newest = epochTracker.newest();
    if (newest.equals(before)) {
      return;
    }
    membership.setSourceEpoch(newest);
    if (before.known()) {
      int nodes = membership.members().size();
      long delayNanos =
          SourceEpochTracker.rewriteDelayNanos(nodes, ThreadLocalRandom.current().nextDouble());
      metrics.countSourceRollback();
      log.warn(
          "source-went-back",
          () ->
              "old-epoch="
                  + before
                  + " new-epoch="
                  + newest
                  + " void=position written-again=own-record in-ms="
                  + TimeUnit.NANOSECONDS.toMillis(delayNanos));
      follower.abortReadBefore(newest);
      directory.rewriteAfter(delayNanos);
      announceToOwnZone();
    }
    // Last, so that the next tick repeats what has failed.
    handledEpoch = newest;
  }

  private void announceOwnState() {
    gossip.send(membership.announcements());
    rebuildViews();
  }

  // The delay of a tick reveals an overload even when no call arrives.
  private void tick() {
    long dueNanos = lastTickNanos + millis(TICK_MILLIS);
    shedder.onSchedulingDelay(time.nanos() - dueNanos, time.nanos());
    tasks.run(this::logOverload);
    runPeriodicTasks();
    lastTickNanos = time.nanos();
  }

  private void logOverload() {
    boolean now = shedder.admittedShare() < 1;
    if (now != overloaded) {
      overloaded = now;
      log.info("processor-overload", () -> "overloaded=" + now);
    }
  }

  private void runPeriodicTasks() {
    tasks.run(() -> deadlineWatch.abortOverdue(time.nanos()));
    tasks.run(gossip::tick);
    tasks.run(suspicions::refresh);
    tasks.run(this::handleEpochChange);
    tasks.run(follower::abortLostRead);
    tasks.run(() -> sendHeartbeatIfDue(false));
    tasks.run(registry::refresh);
    tasks.run(this::renewIncarnationIfSuperseded);
    tasks.run(
        () ->
            links
                .checkLiveness()
                .forEach(address -> log.warn("link-silent", () -> "peer=" + address.node())));
    tasks.run(this::handleMemberChanges);
    tasks.run(quotas::tick);
    tasks.run(this::applyMissedChanges);
    tasks.run(this::contactPeersIfAlone);
  }

  private Optional<QuotaReply> queryQuota(NodeName node, QuotaRequest request, long timeoutMillis) {
    return membership
        .member(node)
        .map(peer -> new PeerAddress(node, peer.incarnation(), peer.host(), peer.port()))
        .flatMap(address -> links.query(address, id -> quotaRequest(request, id), timeoutMillis))
        .map(Frame::getQuotaReply);
  }

  private Frame quotaRequest(QuotaRequest request, long query) {
    return Frame.newBuilder()
        .setQuotaRequest(
            request.toBuilder().setQuery(query).setConfigOffset(configHolder.version()))
        .build();
  }

  // While this node knows no other member, it contacts the peers of its settings at intervals.
  private void contactPeersIfAlone() {
    long now = time.nanos();
    if (now - nextPeerSearchNanos < 0) {
      return;
    }
    nextPeerSearchNanos = now + millis(PEER_SEARCH_INTERVAL_MILLIS);
    if (membership.members().size() > 1) {
      return;
    }
    gossip.send(
        settings.peers().stream()
            .filter(peer -> !peer.equals(settings.nodeEndpoint()))
            .map(peer -> membership.syncRequest(peer.host(), peer.port()))
            .toList());
  }

  private void handleMemberChanges() {
    long viewHash = membership.viewHash();
    if (viewHash != lastViewHash) {
      List<Member> members = membership.members();
      retryBurst = retryBurstFor(members.size());
      quotas.onMembers(members);
      readPolicy.onZoneMembers(
          members.stream()
              .filter(member -> member.reachable() && member.zone().equals(settings.zone()))
              .map(Member::node)
              .toList());
      configReaders = ConfigReaders.among(settings.zone(), members);
      readWaitPolicy.onReaders(configReaders);
      logChanges(members);
      rebuildViews();
      links.closeStale(membership);
      // Last, so that the next tick repeats what has failed.
      lastViewHash = viewHash;
    }
  }

  private void logChanges(List<Member> members) {
    List<String> changes = memberChanges.update(members);
    if (!changes.isEmpty()) {
      log.info("members-changed", () -> "changes=" + String.join(",", changes));
    }
  }

  // After the clock was set back, or after a restart within one millisecond, other members know an
  // incarnation of this node that is not lower than its own, and would take its state for outdated.
  private void renewIncarnationIfSuperseded() {
    membership
        .supersedingIncarnation()
        .ifPresent(
            seen -> {
              Incarnation fresh = identity.advanceIncarnationBeyond(seen);
              membership.setIncarnation(fresh);
              log.warn("incarnation-overtaken", () -> "seen=" + seen + " now=" + fresh);
              announceOwnState();
            });
  }

  /**
   * Stops as planned: announces the stop at once, serves callers until they have left, lets
   * requests in progress end, and closes.
   *
   * <p>Blocks until all is closed, at most for the grace period of the settings.
   *
   * @return whether every request in progress ended within the grace period
   */
  public boolean stop() {
    stopping = true;
    long begin = time.nanos();
    log.info("stop-started", () -> "in-progress=" + inProgress());
    callerHandler.closeConnectionsAfterResponse();
    long end = begin + settings.gracePeriod().toNanos() - millis(STOP_RESERVE_MILLIS);
    entrySide.limitDeadlines(end - millis(ANSWER_RESERVE_MILLIS));
    registry.announceDrain();
    gossip.send(membership.announcements());
    sleepUntil(begin + millis(CALLER_DRAIN_MILLIS), false);
    callerHandler.refuseNewCalls();
    registry.stop();
    boolean finished = sleepUntil(end, true);
    log.info("stop-ended", () -> "finished=" + finished + " in-progress=" + inProgress());
    halt();
    return finished;
  }

  private static long millis(long millis) {
    return TimeUnit.MILLISECONDS.toNanos(millis);
  }

  // Returns whether no request is in progress any more.
  private boolean sleepUntil(long nanos, boolean endWhenIdle) {
    while (time.nanos() < nanos && !(endWhenIdle && isIdle())) {
      try {
        Thread.sleep(IDLE_POLL_MILLIS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return false;
      }
    }
    return inProgress() == 0;
  }

  private int inProgress() {
    return targetSide.inProgress() + callerHandler.callsInProgress();
  }

  // Also waits for requests that have arrived and not been read, and for refusals, as long as there
  // is time.
  private boolean isIdle() {
    return inProgress() == 0 && callerListener.busyConnections() == 0;
  }

  /** Closes at once, as if the process were killed; does nothing if the node has stopped. */
  public void halt() {
    if (closed.compareAndSet(false, true)) {
      scheduler.shutdownNow();
      follower.close();
      directory.close();
      callerListener.close();
      peerServer.close();
      gossip.close();
      links.close();
      executor.shutdownNow();
      group
          .shutdownGracefully(0, NETWORK_SHUTDOWN_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
          .awaitUninterruptibly(NETWORK_SHUTDOWN_TIMEOUT_MILLIS);
    }
  }
}
