package org.amaranthmoor.daemon.quota;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.amaranthmoor.config.TeamQuota;
import org.amaranthmoor.config.TeamSpec;
import org.amaranthmoor.config.Teams;
import org.amaranthmoor.daemon.caller.TeamQuotas;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TeamName;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.node.Member;
import org.amaranthmoor.protocol.node.QuotaDemand;
import org.amaranthmoor.protocol.node.QuotaGrant;
import org.amaranthmoor.protocol.node.QuotaReply;
import org.amaranthmoor.protocol.node.QuotaRequest;
import org.amaranthmoor.quota.OwnerChoice;
import org.amaranthmoor.quota.QuotaBound;
import org.amaranthmoor.quota.QuotaLeases;
import org.amaranthmoor.quota.QuotaMembers;
import org.amaranthmoor.quota.QuotaOwner;

/**
 * Limits the requests of teams over all nodes: asks the owner of a team for tokens, and grants the
 * tokens of the teams that this node owns.
 *
 * <p>Without a team that has a quota, no message is sent and no state is kept. Safe for use by
 * several threads; {@link #tryAcquire} blocks for at most {@link #MAX_WAIT_MILLIS}.
 */
public final class QuotaService implements TeamQuotas {

  /** Longest time that a request waits for the reply of an owner, in milliseconds. */
  private static final long MAX_WAIT_MILLIS = 100;

  /**
   * Longest wait for the reply of an owner while its deputy may be asked after it, in nanoseconds.
   */
  private static final long OWNER_WAIT_NANOS = 50_000_000L;

  /** Wait after which a member that has not replied counts as silent, in nanoseconds. */
  private static final long MIN_WAIT_NANOS = 40_000_000L;

  /**
   * Longest time until the reply to a query, in milliseconds. Requests wait less; the tokens of a
   * later reply serve others.
   */
  private static final long QUERY_MILLIS = 400;

  /** Largest number of teams in a message, so that it stays far below the limit of a frame. */
  private static final int MAX_DEMANDS = 1_000;

  /** Largest number of tokens that one demand may ask for or give back. */
  private static final int MAX_TOKENS = 100_000;

  /**
   * Time after which this node takes the members that it knows for all of them although it could
   * not read the shared records, in nanoseconds. Gossip spreads the members in less.
   */
  private static final long DISCOVERY_NANOS = 3_000_000_000L;

  private static final long NANOS_PER_MICRO = 1_000;

  private final NodeName self;
  private final QuotaOwner owner;
  private final QuotaLeases leases = new QuotaLeases();
  private final OwnerChoice choice = new OwnerChoice();
  private final Supplier<Teams> teams;
  private final QuotaLinks links;
  private final Executor executor;
  private final QuotaMetrics counts;
  private final TimeSource time;
  private final EventLog log;
  private final long createdNanos;
  private final Map<NodeName, OwnerQueue> queues = new ConcurrentHashMap<>();
  private volatile QuotaMembers members;
  private volatile boolean recordsRead;
  // Whether the records were read before the last tick; used by tick only.
  private boolean recordsReadBefore;
  private Set<NodeName> reachableMembers = Set.of();
  private volatile boolean membersKnown;

  /**
   * Creates a service that grants nothing until it knows the members.
   *
   * @param self this node
   * @param bound how far quotas may be exceeded
   * @param teams provides the teams of the configuration in force
   * @param links sends demands to other nodes
   * @param executor runs queries, which block
   * @param metrics counts requests by team
   * @param time the clock
   * @param log receives refusals and changes
   */
  public QuotaService(
      NodeName self,
      QuotaBound bound,
      Supplier<Teams> teams,
      QuotaLinks links,
      Executor executor,
      NodeMetrics metrics,
      TimeSource time,
      EventLog log) {
    this.self = self;
    this.teams = teams;
    this.links = links;
    this.executor = executor;
    this.counts = new QuotaMetrics(metrics);
    this.time = time;
    this.log = log;
    this.createdNanos = time.nanos();
    this.owner = new QuotaOwner(self, bound, createdNanos);
    this.members = new QuotaMembers(List.of(self), 1);
    metrics.registerGauge(
        "amaranthmoor.quota.partitions.owned",
        "Partitions of the teams whose quotas this node grants",
        owner::ownedPartitions);
    metrics.registerGauge(
        "amaranthmoor.quota.teams.owned",
        "Teams whose quotas this node grants and that sent requests recently",
        owner::trackedTeams);
  }

  /** Records that the shared records were read, so that this node knows the other members. */
  public void onRecordsRead() {
    recordsRead = true;
  }

  /**
   * Takes over a change of the members.
   *
   * @param all all members known, this node included
   */
  public synchronized void onMembers(List<Member> all) {
    List<Member> present =
        all.stream()
            .filter(
                member -> member.liveness() != Member.Liveness.LEFT || member.node().equals(self))
            .toList();
    Set<NodeName> reachable =
        present.stream()
            .filter(member -> member.reachable() || member.node().equals(self))
            .map(Member::node)
            .collect(Collectors.toUnmodifiableSet());
    if (reachable.equals(reachableMembers) && present.size() == members.known()) {
      return;
    }
    reachableMembers = reachable;
    QuotaMembers changed = new QuotaMembers(reachable, present.size());
    members = changed;
    choice.retain(reachable::contains);
    queues.keySet().retainAll(reachable);
    if (membersKnown) {
      owner.onMembers(changed, time.nanos());
    }
  }

  /** Gives unused tokens back, and discards idle state. Called several times a second. */
  public synchronized void tick() {
    long now = time.nanos();
    // The members that the records name are taken over after the records were read.
    if (!membersKnown && (recordsReadBefore || isDiscovered(now))) {
      membersKnown = true;
      owner.onMembers(members, now);
    }
    recordsReadBefore = recordsRead;
    owner.tick(now);
    leases.tick(now).forEach(this::giveBack);
  }

  private boolean isDiscovered(long nowNanos) {
    return members.known() > 1 && nowNanos - createdNanos > DISCOVERY_NANOS;
  }

  private void giveBack(TeamName team) {
    choice
        .choose(members, team, time.nanos())
        .ifPresent(
            node -> {
              if (node.equals(self)) {
                askSelf(team, 0);
              } else {
                askInBackground(node, team);
              }
            });
  }

  @Override
  public Optional<Outcome.NotRun<CallResponse>> tryAcquire(TeamSpec team, long deadlineNanos) {
    if (!team.quota().isLimited()) {
      return Optional.empty();
    }
    Decision decision = decide(team, deadlineNanos);
    counts.count(team.name(), decision.result());
    return decision.result() == QuotaMetrics.Result.GRANTED
        ? Optional.empty()
        : Optional.of(refusal(team, decision));
  }

  private record Decision(QuotaMetrics.Result result, Optional<NodeName> asked) {}

  private Decision decide(TeamSpec team, long deadlineNanos) {
    long now = time.nanos();
    TeamName name = team.name();
    if (leases.onRequest(name, now)) {
      return new Decision(QuotaMetrics.Result.GRANTED, Optional.empty());
    }
    if (leases.isBackingOff(name, now)) {
      return new Decision(QuotaMetrics.Result.EXCEEDED, Optional.empty());
    }
    choice.claimRetry(members, name, now).ifPresent(node -> askInBackground(node, name));
    long untilNanos = Math.min(deadlineNanos, now + TimeUnit.MILLISECONDS.toNanos(MAX_WAIT_MILLIS));
    Optional<NodeName> asked = choice.choose(members, name, time.nanos());
    boolean replied = false;
    boolean goesOn = asked.isPresent();
    // The deputy is asked if the owner does not answer. A member that answered and whose tokens
    // other requests took meanwhile is asked again while time is left.
    while (goesOn) {
      NodeName node = asked.get();
      replied = ask(node, name, waitEnd(node, name, untilNanos));
      if (leases.tryTake(name, time.nanos())) {
        return new Decision(QuotaMetrics.Result.GRANTED, asked);
      }
      Optional<NodeName> next = choice.choose(members, name, time.nanos());
      goesOn =
          next.isPresent()
              && time.nanos() - untilNanos < 0
              && (replied ? !leases.isBackingOff(name, time.nanos()) : !next.equals(asked));
      asked = goesOn ? next : asked;
    }
    if (replied) {
      return new Decision(QuotaMetrics.Result.EXCEEDED, asked);
    }
    boolean local =
        leases.tryTake(name, time.nanos())
            || (membersKnown
                && leases.tryTakeLocal(name, team.quota(), members.known(), time.nanos()));
    return new Decision(
        local ? QuotaMetrics.Result.GRANTED : QuotaMetrics.Result.OWNER_UNREACHABLE, asked);
  }

  // Part of the wait for an owner is left for its deputy.
  private long waitEnd(NodeName node, TeamName team, long untilNanos) {
    boolean deputyFollows =
        members.ownerOf(team).equals(Optional.of(node)) && members.deputyOf(team).isPresent();
    return deputyFollows ? Math.min(untilNanos, time.nanos() + OWNER_WAIT_NANOS) : untilNanos;
  }

  // Returns whether the node grants tokens of the team and has replied.
  private boolean ask(NodeName node, TeamName team, long untilNanos) {
    if (node.equals(self)) {
      return askSelf(team, 1);
    }
    long leftNanos = untilNanos - time.nanos();
    if (leftNanos <= 0) {
      return false;
    }
    try {
      return queue(node).add(team, 1).get(leftNanos, TimeUnit.NANOSECONDS)
          && choice.choose(members, team, time.nanos()).equals(Optional.of(node));
    } catch (TimeoutException e) {
      // A request whose deadline was near says nothing about the owner.
      if (leftNanos >= MIN_WAIT_NANOS) {
        choice.onTimeout(node, time.nanos());
      }
      return false;
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      return false;
    } catch (ExecutionException e) {
      return false;
    }
  }

  private boolean askSelf(TeamName team, int waiting) {
    long now = time.nanos();
    QuotaLeases.Demand demand = leases.demand(team, waiting, now);
    QuotaOwner.Grant grant = grant(team, demand.wanted(), demand.returned(), now);
    choice.onReply(self, team, grant.owner(), now);
    leases.onGrant(team, grant, now, now);
    return grant.owner();
  }

  private void askInBackground(NodeName node, TeamName team) {
    if (node.equals(self)) {
      askSelf(team, 0);
    } else {
      var unused = queue(node).add(team, 0);
    }
  }

  private OwnerQueue queue(NodeName node) {
    return queues.computeIfAbsent(
        node,
        name ->
            new OwnerQueue(
                MAX_DEMANDS, executor, (waiting, done) -> sendRound(name, waiting, done)));
  }

  private void sendRound(
      NodeName node, Map<TeamName, Integer> waiting, CompletableFuture<Boolean> done) {
    List<QuotaDemand> demands = new ArrayList<>();
    waiting.entrySet().forEach(e -> demands.add(demand(e)));
    QuotaRequest request = QuotaRequest.newBuilder().addAllDemands(demands).build();
    long askedNanos = time.nanos();
    Optional<QuotaReply> reply = links.query(node, request, QUERY_MILLIS);
    long now = time.nanos();
    if (reply.isEmpty()) {
      choice.onTimeout(node, now);
    } else {
      reply.get().getGrantsList().forEach(grant -> onGrant(node, grant, askedNanos, now));
    }
    done.complete(reply.isPresent());
  }

  private QuotaDemand demand(Map.Entry<TeamName, Integer> waiting) {
    QuotaLeases.Demand demand = leases.demand(waiting.getKey(), waiting.getValue(), time.nanos());
    return QuotaDemand.newBuilder()
        .setTeam(waiting.getKey().value())
        .setWanted(demand.wanted())
        .setReturned(demand.returned())
        .build();
  }

  private void onGrant(NodeName node, QuotaGrant grant, long askedNanos, long nowNanos) {
    if (!Names.isName(grant.getTeam())) {
      return;
    }
    int tokens = Math.clamp(grant.getGranted(), 0, MAX_TOKENS);
    long retryNanos = Math.max(0, grant.getRetryAfterMicros()) * NANOS_PER_MICRO;
    TeamName team = new TeamName(grant.getTeam());
    choice.onReply(node, team, grant.getOwner(), nowNanos);
    leases.onGrant(
        team, new QuotaOwner.Grant(grant.getOwner(), tokens, retryNanos), askedNanos, nowNanos);
  }

  /**
   * Answers a demand for tokens of another node.
   *
   * @param request the demand
   * @return the reply
   */
  public QuotaReply answer(QuotaRequest request) {
    QuotaReply.Builder reply = QuotaReply.newBuilder().setQuery(request.getQuery());
    long now = time.nanos();
    for (QuotaDemand demand : request.getDemandsList()) {
      if (Names.isName(demand.getTeam())) {
        QuotaOwner.Grant grant =
            grant(
                new TeamName(demand.getTeam()),
                Math.clamp(demand.getWanted(), 0, MAX_TOKENS),
                Math.clamp(demand.getReturned(), 0, MAX_TOKENS),
                now);
        reply.addGrants(
            QuotaGrant.newBuilder()
                .setTeam(demand.getTeam())
                .setOwner(grant.owner())
                .setGranted(grant.tokens())
                .setRetryAfterMicros(grant.retryAfterNanos() / NANOS_PER_MICRO));
      }
    }
    return reply.build();
  }

  // A team that the configuration here lacks was added or removed a moment ago; the sender uses its
  // local allowance meanwhile.
  private QuotaOwner.Grant grant(TeamName team, int wanted, int returned, long nowNanos) {
    Optional<TeamQuota> quota = teams.get().find(team).map(TeamSpec::quota);
    return quota
        .map(found -> owner.grant(team, found, wanted, returned, nowNanos))
        .orElse(QuotaOwner.Grant.NOT_OWNER);
  }

  @Override
  public void release(TeamSpec team) {
    if (team.quota().isLimited()) {
      leases.release(team.name(), time.nanos());
    }
  }

  private Outcome.NotRun<CallResponse> refusal(TeamSpec team, Decision decision) {
    long now = time.nanos();
    long retryMillis =
        Math.max(1, TimeUnit.NANOSECONDS.toMillis(leases.retryAfterNanos(team.name(), now)));
    Optional<NodeName> owner = members.ownerOf(team.name());
    log.requestFailed(
        "quota-refused",
        () ->
            "team="
                + team.name()
                + " reason="
                + decision.result().label()
                + " owner="
                + owner.map(NodeName::value).orElse("none")
                + " asked="
                + decision.asked().map(NodeName::value).orElse("none")
                + " held="
                + leases.held(team.name())
                + " rate="
                + team.quota().requestsPerSecond()
                + " burst="
                + team.quota().burst()
                + " nodes="
                + members.known()
                + " retry-ms="
                + retryMillis);
    return new Outcome.NotRun<>(
        ResultCode.QUOTA_EXCEEDED,
        retryMillis,
        decision.result() == QuotaMetrics.Result.EXCEEDED
            ? "the quota of the team is used up"
            : "the owner of the team's quota does not answer");
  }
}
