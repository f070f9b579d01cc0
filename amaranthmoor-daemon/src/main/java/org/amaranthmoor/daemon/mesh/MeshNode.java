package org.amaranthmoor.daemon.mesh;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import java.io.IOException;
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
import org.amaranthmoor.caller.LoadShedder;
import org.amaranthmoor.caller.RetryBudget;
import org.amaranthmoor.daemon.caller.CallerDialect;
import org.amaranthmoor.daemon.caller.CallerHandler;
import org.amaranthmoor.daemon.caller.EntrySide;
import org.amaranthmoor.daemon.caller.RoutingSnapshots;
import org.amaranthmoor.daemon.caller.TargetConnector;
import org.amaranthmoor.daemon.exchange.TimedExecutor;
import org.amaranthmoor.daemon.http.HttpListener;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.log.GuardedTasks;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.daemon.node.GossipSocket;
import org.amaranthmoor.daemon.node.NodeIdentity;
import org.amaranthmoor.daemon.node.PeerLinks;
import org.amaranthmoor.daemon.node.PeerServer;
import org.amaranthmoor.daemon.operator.NodeGauges;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.daemon.target.RegisteredTarget;
import org.amaranthmoor.daemon.target.TargetConnectionPool;
import org.amaranthmoor.daemon.target.TargetDialect;
import org.amaranthmoor.daemon.target.TargetProbe;
import org.amaranthmoor.daemon.target.TargetSide;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.ServiceName;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.ConfigReadPolicy;
import org.amaranthmoor.node.GossipTimings;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.node.MemberChanges;
import org.amaranthmoor.node.Membership;
import org.amaranthmoor.node.SourceEpochTracker;
import org.amaranthmoor.target.Admission;
import org.amaranthmoor.target.ExchangeLedger;
import org.amaranthmoor.target.KeyLedger;
import org.amaranthmoor.target.KeyOwners;
import org.amaranthmoor.target.KeyOwnership;
import org.amaranthmoor.target.NoticeCache;
import org.amaranthmoor.target.TargetHealth;
import org.amaranthmoor.target.TargetLifecycle;
import org.amaranthmoor.target.TargetRun;

/**
 * One node of a mesh, put together and running.
 *
 * <p>Safe for use by several threads; {@link #stop} is a planned stop and may be called once.
 */
public final class MeshNode {

  /** Period of gossip, link supervision and checks, in milliseconds. */
  private static final long TICK_MILLIS = 100;

  /** Servers looked at for a call within a zone. */
  private static final int DRAWN = 8;

  /** Least number of nodes that the retry slack is divided by while few are known. */
  private static final int LEAST_NODES = 8;

  /** Share of the retry slack that is spent; the rest covers what several windows share. */
  private static final double SPENT_SLACK_SHARE = 0.8;

  /** Time after a stop began in which callers still send, in milliseconds: two missed checks. */
  private static final long CALLERS_LEAVE_MILLIS = 3_000;

  /** Time kept free at the end of a stop, in milliseconds; closing takes less on a slow machine. */
  private static final long STOP_RESERVE_MILLIS = 600;

  /** Longest wait for the network threads to end, in milliseconds. */
  private static final long NETWORK_END_MILLIS = 100;

  /** Time between two tries to find peers, in milliseconds. */
  private static final long FIND_PEERS_MILLIS = 1_000;

  private static final long POLL_MILLIS = 20;

  /**
   * Longest time that a target's report waits for this node's first configuration, in milliseconds:
   * the target waits a second for its acknowledgement.
   */
  private static final long FIRST_CONFIG_MILLIS = 800;

  /** Connections to the target that are kept idle at most. */
  private static final int MAX_IDLE_CONNECTIONS = 32;

  /** Time after which an idle connection to the target is not used again, in milliseconds. */
  private static final long IDLE_MILLIS = 2_000;

  private static final int FIRST_SLOTS = 1;

  private final MeshSettings settings;
  private final TimeSource time;
  private final EventLog log;
  private final GuardedTasks tasks;
  private final NodeIdentity identity;
  private final NodeMetrics metrics = new NodeMetrics();
  private final ConfigHolder config = new ConfigHolder();
  private final ConfigReadPolicy watch;
  private final SourceEpochTracker history;
  private final Membership membership;
  private final EventLoopGroup group =
      new MultiThreadIoEventLoopGroup(1, NioIoHandler.newFactory());
  private final ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
  private final LoadShedder shedder;
  private final ScheduledExecutorService scheduler = Executors.newScheduledThreadPool(1);
  private final TargetLifecycle lifecycle;
  private final TargetSide targetSide;
  private final TargetRegistry registry;
  private final RoutingSnapshots views;
  private final PeerLinks links;
  private final CallerHandler callerHandler;
  private final InstanceDirectory directory;
  private final ConfigFollower follower;
  private final PeerConfigReader peerConfigs;
  private final PeerServer peerServer;
  private final GossipSocket gossip;
  private final HttpListener callerListener;
  private final AtomicBoolean closed = new AtomicBoolean();
  private volatile boolean stopping;
  // This node's part of the retries that all nodes together may save up.
  private volatile int retryBurst;
  private long shownViewHash;
  private final MemberChanges memberChanges = new MemberChanges();
  private long nextFindNanos;
  private long lastTickNanos;
  private boolean overloaded;
  // The epoch of the source that this node has acted on.
  private SourceEpoch followedEpoch = SourceEpoch.UNKNOWN;

  /**
   * Creates a node and opens its ports; {@link #start} lets it take part.
   *
   * @param settings its settings
   * @param records records that all nodes share
   * @param feed where the configuration comes from
   * @param history the epochs of the source of both
   * @param callerDialect how callers are spoken to
   * @param targetDialect how the target is spoken to
   * @param time the time
   * @param log events
   * @throws IOException if a port cannot be opened
   */
  public MeshNode(
      MeshSettings settings,
      SharedRecords records,
      ConfigFeed feed,
      SourceEpochTracker history,
      CallerDialect callerDialect,
      TargetDialect targetDialect,
      TimeSource time,
      EventLog log)
      throws IOException {
    this.settings = settings;
    this.retryBurst = burstFor(1);
    this.time = time;
    this.log = log;
    this.tasks = new GuardedTasks(log);
    this.identity = new NodeIdentity(settings.node(), new Incarnation(time.wallMillis() * 1_000));
    this.membership =
        new Membership(
            self(), GossipTimings.standard(), RandomGenerator.getDefault(), time.nanos());
    this.watch = new ConfigReadPolicy(settings.node());
    this.history = history;
    this.lifecycle = new TargetLifecycle(settings.firstStart());
    TargetHealth health = new TargetHealth();
    this.targetSide = createTargetSide(health, targetDialect);
    this.views =
        new RoutingSnapshots(
            settings.zone(),
            new RoutingSnapshots.ServicePolicies(
                spec -> new PickPolicy.ZoneFirst(DRAWN),
                spec -> RetryBudget.empty(spec.retryShare(), () -> retryBurst)),
            time);
    this.links =
        new PeerLinks(
            identity,
            group,
            executor,
            views::onLoadReport,
            new NoticeCache(),
            metrics,
            time,
            this::isFar);
    this.shedder = new LoadShedder(time.nanos());
    TimedExecutor timed =
        new TimedExecutor(executor, delay -> shedder.onSchedulingDelay(delay, time.nanos()), time);
    TargetConnector access = new TargetConnector(identity, targetSide, links, timed);
    EntrySide entrySide =
        new EntrySide(settings.zone(), views, access, links, shedder, metrics, time, log);
    this.callerHandler =
        new CallerHandler(views, entrySide, callerDialect, targetSide::runningAttempt, time);
    this.directory = new InstanceDirectory(settings, records, history, this::onDirectory, log);
    this.registry =
        new TargetRegistry(
            lifecycle,
            health,
            targetSide,
            membership,
            directory,
            this::isKnown,
            this::spreadOwnState,
            time,
            log);
    this.follower = new ConfigFollower(feed, this::takeFromFeed, watch, time, log);
    this.peerConfigs =
        new PeerConfigReader(
            settings.zone(), membership, links, config, feed, this::takeFromPeer, watch, log);
    this.peerServer =
        new PeerServer(
            settings.nodes().host(),
            settings.nodes().port(),
            group,
            targetSide,
            new ExchangeLedger(),
            new MeshQueries(settings, identity, config, targetSide, views),
            identity,
            timed,
            metrics,
            time);
    this.gossip =
        new GossipSocket(
            settings.nodes().host(),
            settings.nodes().port(),
            group,
            membership,
            this::onPeerConfig,
            metrics,
            time);
    this.nextFindNanos = time.nanos();
    NodeGauges.add(metrics, targetSide, membership, follower::available, config::version, log);
    this.callerListener = new HttpListener(settings.callers().socketAddress(), callerHandler);
  }

  private TargetSide createTargetSide(TargetHealth health, TargetDialect dialect) {
    Admission admission = new Admission(FIRST_SLOTS, 0, RandomGenerator.getDefault(), time.nanos());
    TargetConnectionPool connections =
        new TargetConnectionPool(MAX_IDLE_CONNECTIONS, IDLE_MILLIS, time);
    TargetProbe probe =
        new TargetProbe(this::speedQuestion, connections, dialect, admission, executor, time, log);
    admission.setSpeedProbe(probe::probe);
    // Callers' repeats carry no keys here, so that nothing is claimed or remembered.
    KeyOwnership noOwnership =
        new KeyOwnership(new KeyOwners.Member(settings.node(), identity.incarnation()));
    return new TargetSide(
        admission,
        new KeyLedger<>(1, 1, answer -> 0),
        new AtomicReference<>(noOwnership),
        new RegisteredTarget(lifecycle, health, this::onLeaveFound, log),
        dialect,
        connections,
        metrics,
        time,
        log);
  }

  // Keeping the leave may take as long as a write to the shared records.
  private void onLeaveFound(TargetRun run) {
    executor.execute(() -> tasks.run(() -> registry.onLeave(run)));
  }

  private Optional<TargetProbe.HealthCheck> speedQuestion() {
    Optional<TargetLifecycle.Report> report = lifecycle.ready(time.nanos());
    Optional<String> path =
        report.flatMap(
            ready ->
                config.current().map(held -> held.healthPaths().get(ready.serving().service())));
    return report.flatMap(
        ready ->
            path.map(
                found ->
                    new TargetProbe.HealthCheck(new Endpoint(ready.host(), ready.port()), found)));
  }

  private Member self() {
    return new Member(
        settings.node(),
        identity.incarnation(),
        Member.Liveness.ALIVE,
        settings.nodes().host(),
        settings.nodes().port(),
        settings.zone(),
        settings.region(),
        true,
        0);
  }

  private boolean isFar(NodeName node) {
    return membership
        .member(node)
        .map(member -> !member.zone().equals(settings.zone()))
        .orElse(false);
  }

  private boolean isNear(String node) {
    return Names.isName(node)
        && membership
            .member(new NodeName(node))
            .filter(member -> member.zone().equals(settings.zone()))
            .isPresent();
  }

  private int burstFor(int members) {
    int nodes = Math.max(LEAST_NODES, members);
    return (int) Math.max(1, settings.retrySlack() * SPENT_SLACK_SHARE / nodes);
  }

  /** Lets the node take part. */
  public void start() {
    follower.start();
    directory.start();
    lastTickNanos = time.nanos();
    var unused =
        scheduler.scheduleWithFixedDelay(
            this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
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
                + settings.callers()
                + " nodes="
                + settings.nodes()
                + " first-start="
                + settings.firstStart());
  }

  /** {@return where the target beside this node reports} */
  public TargetRegistry registry() {
    return registry;
  }

  /** {@return the metrics of this node} */
  public NodeMetrics metrics() {
    return metrics;
  }

  /** {@return the version of the configuration in force, or -1 before the first} */
  public long configVersion() {
    return config.version();
  }

  /** {@return whether callers may send requests here} */
  public boolean ready() {
    return !stopping && views.current().isPresent();
  }

  // A target reports at once when it has started, which after a loss of power is before this node
  // has its configuration; one that is turned away comes back only a good while later.
  private boolean isKnown(ServiceName service) {
    config.awaitFirst(FIRST_CONFIG_MILLIS);
    return config.current().map(held -> held.services().containsKey(service)).orElse(false);
  }

  private void onDirectory(InstanceDirectory.Contents contents) {
    contents.leftRuns().forEach(lifecycle::onGone);
    if (contents.wholeHistory()) {
      lifecycle.onHistoryKnown();
    }
    contents.others().forEach(membership::learn);
    registry.refresh();
    log.info(
        "directory-read",
        () ->
            "others="
                + contents.others().size()
                + " left-runs="
                + contents.leftRuns().size()
                + " whole-history="
                + contents.wholeHistory()
                + " epoch="
                + history.newest());
    gossip.send(membership.initialSyncRequests());
  }

  private void takeFromFeed(RoutingConfig found) {
    if (take(found, "feed")) {
      tellZone(true);
    }
  }

  // What came from another zone may be news to the whole own zone.
  private void takeFromPeer(RoutingConfig found, Member peer) {
    boolean near = peer.zone().equals(settings.zone());
    if (take(found, peer.node().value()) && !near) {
      gossip.send(membership.configAnnouncements(false));
    }
  }

  private void tellZone(boolean news) {
    if (watch.claimHeartbeat(follower.available(), news, time.nanos())) {
      gossip.send(membership.configAnnouncements(true));
    }
  }

  // Returns whether the configuration is news.
  private boolean take(RoutingConfig found, String source) {
    boolean news = config.advance(found);
    if (news) {
      membership.setConfigOffset(found.version());
      rebuildViews();
      log.info(
          "config-in-force",
          () ->
              "version="
                  + found.version()
                  + " source="
                  + source
                  + " rules="
                  + found.routes().size()
                  + " services="
                  + found.services().size());
    }
    return news;
  }

  private synchronized void rebuildViews() {
    config
        .current()
        .ifPresent(held -> views.rebuild(new MeshDeployment(held, membership, registry.serving())));
  }

  // A neighbour that reads the source of an earlier epoch may miss what was written since.
  private void onPeerConfig(GossipSocket.PeerConfig stated) {
    history.onEpochSeen(stated.epoch());
    boolean newest = stated.epoch().equals(history.newest());
    if (stated.readsSource() && newest && isNear(stated.node())) {
      watch.onReaderHeartbeat(time.nanos());
    }
    if (stated.offset() > config.version()) {
      executor.execute(
          () -> tasks.run(() -> peerConfigs.readLater(stated.node(), stated.offset())));
    }
  }

  // Acts on a new epoch of the source, whoever told it: the position is void, the record is owed.
  private void followSource() {
    SourceEpoch before = followedEpoch;
    SourceEpoch newest = history.newest();
    if (newest.equals(before)) {
      return;
    }
    followedEpoch = newest;
    membership.setSourceEpoch(newest);
    if (before.known()) {
      int nodes = membership.members().size();
      long pauseNanos =
          SourceEpochTracker.rewriteDelayNanos(nodes, ThreadLocalRandom.current().nextDouble());
      metrics.sourceWentBack();
      log.warn(
          "source-went-back",
          () ->
              "old-epoch="
                  + before
                  + " new-epoch="
                  + newest
                  + " void=position written-again=own-record in-ms="
                  + TimeUnit.NANOSECONDS.toMillis(pauseNanos));
      follower.endReadBefore(newest);
      directory.writeAgain(pauseNanos);
      gossip.send(membership.configAnnouncements(false));
    }
  }

  private void spreadOwnState() {
    gossip.send(membership.announcements());
    rebuildViews();
  }

  // A tick that is late tells of an overload when no call arrives.
  private void tick() {
    long dueNanos = lastTickNanos + millis(TICK_MILLIS);
    shedder.onSchedulingDelay(time.nanos() - dueNanos, time.nanos());
    tasks.run(this::logOverload);
    doDue();
    lastTickNanos = time.nanos();
  }

  private void logOverload() {
    boolean now = shedder.admittedShare() < 1;
    if (now != overloaded) {
      overloaded = now;
      log.info("processor-overload", () -> "overloaded=" + now);
    }
  }

  private void doDue() {
    tasks.run(gossip::tick);
    tasks.run(this::followSource);
    tasks.run(() -> tellZone(false));
    tasks.run(registry::refresh);
    tasks.run(this::renewIfOvertaken);
    tasks.run(
        () ->
            links
                .supervise()
                .forEach(address -> log.warn("link-silent", () -> "peer=" + address.node())));
    tasks.run(this::followMembership);
    tasks.run(this::findPeers);
  }

  // A node that knows nobody asks the peers of its settings, until one of them answers.
  private void findPeers() {
    long now = time.nanos();
    if (membership.members().size() > 1 || now - nextFindNanos < 0) {
      return;
    }
    nextFindNanos = now + millis(FIND_PEERS_MILLIS);
    gossip.send(
        settings.peers().stream()
            .filter(peer -> !peer.equals(settings.nodes()))
            .map(peer -> membership.syncRequest(peer.host(), peer.port()))
            .toList());
  }

  private void followMembership() {
    long viewHash = membership.viewHash();
    if (viewHash != shownViewHash) {
      shownViewHash = viewHash;
      List<Member> members = membership.members();
      retryBurst = burstFor(members.size());
      watch.onZoneMembers(
          members.stream()
              .filter(member -> member.reachable() && member.zone().equals(settings.zone()))
              .map(Member::node)
              .toList());
      logChanges(members);
      rebuildViews();
      links.closeGone(membership);
    }
  }

  private void logChanges(List<Member> members) {
    List<String> changes = memberChanges.update(members);
    if (!changes.isEmpty()) {
      log.info("members-changed", () -> "changes=" + String.join(",", changes));
    }
  }

  // A clock that was set back, or a start within one millisecond, gives an incarnation that others
  // take for an old one.
  private void renewIfOvertaken() {
    membership
        .supersedingIncarnation()
        .ifPresent(
            seen -> {
              Incarnation fresh = identity.renewBeyond(seen);
              membership.setIncarnation(fresh);
              log.warn("incarnation-overtaken", () -> "seen=" + seen + " now=" + fresh);
              spreadOwnState();
            });
  }

  /**
   * Stops as planned: says so at once, serves callers until they have left, lets requests in
   * progress end, and closes.
   *
   * <p>Blocks until all is closed, at most the grace of the settings.
   *
   * @return whether every request in progress ended within the grace
   */
  public boolean stop() {
    stopping = true;
    long begin = time.nanos();
    log.info("stop-started", () -> "in-progress=" + inProgress());
    callerHandler.closeConnectionsAfterResponse();
    registry.leave();
    gossip.send(membership.announcements());
    long end = begin + settings.grace().toNanos() - millis(STOP_RESERVE_MILLIS);
    sleepUntil(begin + millis(CALLERS_LEAVE_MILLIS), false);
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

  // Returns whether nothing is in progress.
  private boolean sleepUntil(long nanos, boolean endWhenIdle) {
    while (time.nanos() < nanos && !(endWhenIdle && inProgress() == 0)) {
      try {
        Thread.sleep(POLL_MILLIS);
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

  /** Ends at once, as if the process were killed; does nothing if the node has stopped. */
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
          .shutdownGracefully(0, NETWORK_END_MILLIS, TimeUnit.MILLISECONDS)
          .awaitUninterruptibly(NETWORK_END_MILLIS);
    }
  }
}
