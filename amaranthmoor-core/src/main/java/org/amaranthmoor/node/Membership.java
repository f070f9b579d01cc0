package org.amaranthmoor.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.Names;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.ServedService;
import org.amaranthmoor.model.SourceEpoch;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.protocol.node.EvacuatedZonesState;
import org.amaranthmoor.protocol.node.Gossip;
import org.amaranthmoor.protocol.node.LeftTargetRun;
import org.amaranthmoor.protocol.node.MemberState;
import org.amaranthmoor.protocol.node.RequestSuspicion;

/**
 * Failure detection and dissemination of member states among the nodes of one region, after the
 * SWIM protocol.
 *
 * <p>Each period a node pings one member, in a shuffled order: most often a member of its own
 * availability zone, because traffic between zones is expensive. If no ack arrives in time, a few
 * helpers ping the member indirectly. If none of them gets an ack either, the member is suspected,
 * and declared dead unless it refutes the suspicion by raising its version. Changed states are
 * piggybacked on pings, ping requests and acks. Members of other regions are ignored, so that the
 * loss of a region marks none of its nodes dead.
 *
 * <p>Invariant: the pair (incarnation, version) known of a member never falls while the member is
 * known. Does no I/O: methods return the messages to send.
 *
 * <p>Safe for use by several threads.
 */
public final class Membership {

  /** Largest number of states in a message of a sync, so that it fits into a datagram. */
  static final int STATES_PER_SYNC_MESSAGE = 12;

  /** Number of members that a node sends a sync request to when it starts. */
  private static final int INITIAL_SYNC_PEERS = 4;

  /**
   * Largest number of members that are kept, so that datagrams which name members that do not exist
   * cannot fill the heap; half as many again as the largest deployment has.
   */
  static final int MAX_MEMBERS = 10_000;

  /**
   * Number of members of the own availability zone that a change of this node's own state is sent
   * to at once. Requests try targets of their own zone first, and after a mass restart no other
   * node knows this node's target.
   */
  private static final int SAME_ZONE_ANNOUNCEMENTS = 40;

  /** Number of members of other availability zones that such a change is sent to at once. */
  private static final int OTHER_ZONE_ANNOUNCEMENTS = 16;

  /** One of this many successive pings and syncs goes to another availability zone. */
  private static final int ZONE_CYCLE_LENGTH = 4;

  /** Number of members of the own availability zone that a leave of the target is sent to. */
  private static final int SAME_ZONE_LEAVE_KEEPERS = 8;

  /**
   * Number of members of other availability zones that a leave is sent to, so that it outlives the
   * loss of the own zone.
   */
  private static final int OTHER_ZONE_LEAVE_KEEPERS = 2;

  /** Time between two attempts to reach a dead member, in nanoseconds. */
  private static final long DEAD_RETRY_INTERVAL_NANOS = 1_500_000_000L;

  /** Time after which an unreachable member is removed, in nanoseconds. */
  static final long UNREACHABLE_RETENTION_NANOS = 600_000_000_000L;

  /**
   * A message to send.
   *
   * @param to the receiver; this node itself in a sync request, which is sent to an address
   * @param host the receiver's IP address
   * @param port the receiver's TCP port
   * @param message the message
   */
  public record Outgoing(NodeName to, String host, int port, Gossip message) {}

  private record PendingPing(
      NodeName subject, Optional<NodeName> requester, long requesterSequence, long sentNanos) {}

  private static final class MemberEntry {
    private Member member;
    private long suspectedSinceNanos;
    private long unreachableSinceNanos;

    private MemberEntry(Member member) {
      this.member = member;
    }
  }

  private final GossipTimings timings;
  private final RandomGenerator random;
  private final Map<NodeName, MemberEntry> members = new HashMap<>();
  private final Map<Long, PendingPing> pendingPings = new HashMap<>();
  private final Map<Long, NodeName> indirectPings = new HashMap<>();
  private final Map<Long, Long> indirectPingStartNanos = new HashMap<>();
  private final Set<NodeName> suspected = new HashSet<>();
  private final DisseminationQueue disseminationQueue = new DisseminationQueue();
  private final List<NodeName> sameZonePingOrder = new ArrayList<>();
  private final List<NodeName> otherZonePingOrder = new ArrayList<>();
  private Member self;
  private Optional<Incarnation> supersedingIncarnation = Optional.empty();
  private long configOffset = -1;
  private SourceEpoch sourceEpoch = SourceEpoch.UNKNOWN;
  // Built once per change, as each message carries it.
  private Optional<EvacuatedZonesState> evacuatedZones = Optional.empty();
  private List<LeftTargetRun> leftRuns = List.of();
  private long suspicionsHash;
  private long viewHash;
  private long nextSequence;
  private int zoneCyclePosition;
  private long nextPingNanos;
  private long nextSyncNanos;
  private long nextDeadRetryNanos;

  /**
   * Creates a membership that knows only itself.
   *
   * @param self this node
   * @param timings periods and limits
   * @param random source of randomness
   * @param nowNanos the current time
   */
  public Membership(Member self, GossipTimings timings, RandomGenerator random, long nowNanos) {
    this.self = self;
    this.timings = timings;
    this.random = random;
    this.nextPingNanos = nowNanos + random.nextLong(timings.pingPeriodNanos());
    this.nextSyncNanos = nowNanos + random.nextLong(timings.syncPeriodNanos());
    store(self);
  }

  /**
   * Adds a member that is known from another source than gossip, such as the log.
   *
   * @param member the member
   */
  public synchronized void learn(Member member) {
    if (member.region().equals(self.region()) && !member.node().equals(self.node())) {
      // All members learn this from the same source, so it is not disseminated.
      merge(member, 0);
    }
  }

  /**
   * Sets whether this node is draining.
   *
   * @param draining whether it refuses new work
   */
  public synchronized void setDraining(boolean draining) {
    updateSelf(self.liveness(), draining, self.version() + 1, self.servedService());
  }

  /**
   * Sets what this node's target serves and whether this node refuses new work; does nothing if
   * neither has changed.
   *
   * @param servedService the service that the target serves, or empty if not known
   * @param draining whether this node refuses new work
   */
  public synchronized void setServedService(
      Optional<ServedService> servedService, boolean draining) {
    boolean changed = !servedService.equals(self.servedService()) || draining != self.draining();
    if (changed) {
      updateSelf(self.liveness(), draining, self.version() + 1, servedService);
    }
  }

  /** Marks this node as leaving and disseminates this until the node stops. */
  public synchronized void leave() {
    updateSelf(Member.Liveness.LEFT, true, self.version() + 1, self.servedService());
  }

  /**
   * Returns an incarnation of this node that other members know and that is greater than the
   * current one. This happens when the node starts with a clock that was set back.
   *
   * @return the incarnation that this node must exceed, or empty if there is none
   */
  public synchronized Optional<Incarnation> supersedingIncarnation() {
    return supersedingIncarnation.filter(seen -> seen.compareTo(self.incarnation()) > 0);
  }

  /**
   * Gives this node a new incarnation.
   *
   * @param incarnation the incarnation, greater than the current one
   */
  public synchronized void setIncarnation(Incarnation incarnation) {
    self = selfWith(incarnation, self.liveness(), self.draining(), 0, self.servedService());
    store(self);
    disseminationQueue.add(self.node());
  }

  /**
   * Sets the configuration offset that this node's messages carry.
   *
   * @param offset offset of the newest configuration in force here
   */
  public synchronized void setConfigOffset(long offset) {
    configOffset = offset;
  }

  /**
   * Sets the epoch of the source that this node's messages carry.
   *
   * @param epoch the newest epoch that is known here
   */
  public synchronized void setSourceEpoch(SourceEpoch epoch) {
    sourceEpoch = epoch;
  }

  /**
   * Sets the evacuated zones that this node's messages carry.
   *
   * @param state the newest state that is known here
   */
  public synchronized void setEvacuatedZones(EvacuatedZones.State state) {
    evacuatedZones =
        state.isRead()
            ? Optional.of(
                EvacuatedZonesState.newBuilder()
                    .setEpoch(state.epoch().number())
                    .setOffset(state.offset())
                    .addAllZones(state.zones().stream().map(ZoneName::value).toList())
                    .build())
            : Optional.empty();
  }

  /**
   * Sets the hash of the suspicions against requests that this node's messages carry.
   *
   * @param hash the hash
   */
  public synchronized void setSuspicionsHash(long hash) {
    suspicionsHash = hash;
  }

  /**
   * Sets the runs of this node's target that have left, which introductions of this node carry.
   *
   * @param runs the runs
   */
  public synchronized void setLeftRuns(List<LeftTargetRun> runs) {
    leftRuns = List.copyOf(runs);
  }

  private void updateSelf(
      Member.Liveness liveness,
      boolean draining,
      long version,
      Optional<ServedService> servedService) {
    self = selfWith(self.incarnation(), liveness, draining, version, servedService);
    store(self);
    disseminationQueue.add(self.node());
  }

  private Member selfWith(
      Incarnation incarnation,
      Member.Liveness liveness,
      boolean draining,
      long version,
      Optional<ServedService> servedService) {
    return new Member(
        self.node(),
        incarnation,
        liveness,
        self.host(),
        self.port(),
        self.zone(),
        self.region(),
        draining,
        version,
        servedService);
  }

  /**
   * Handles timeouts, and sends pings and syncs that are due.
   *
   * @param nowNanos the current time
   * @return messages to send
   */
  public synchronized List<Outgoing> tick(long nowNanos) {
    List<Outgoing> outgoing = new ArrayList<>();
    handlePingTimeouts(nowNanos, outgoing);
    declareDead(nowNanos);
    if (nowNanos >= nextPingNanos) {
      nextPingNanos = Math.max(nextPingNanos + timings.pingPeriodNanos(), nowNanos);
      nextToPing().ifPresent(member -> ping(member, Optional.empty(), 0, nowNanos, outgoing));
    }
    if (nowNanos >= nextSyncNanos) {
      nextSyncNanos = nowNanos + timings.syncPeriodNanos();
      removeExpired(nowNanos);
      randomReachable(!isOtherZoneTurn())
          .ifPresent(member -> outgoing.add(syncRequest(member.host(), member.port())));
    }
    if (nowNanos >= nextDeadRetryNanos) {
      nextDeadRetryNanos = nowNanos + DEAD_RETRY_INTERVAL_NANOS;
      randomDead().ifPresent(member -> outgoing.add(syncWithDead(member)));
    }
    return outgoing;
  }

  // Includes the dead state, so that the member refutes it if it runs.
  private Outgoing syncWithDead(Member dead) {
    return messageTo(dead, introduction().addStates(dead.toMessage()).build());
  }

  // Syncs with dead members recover one that was cut off, or that restarted and knows no members.
  private Optional<Member> randomDead() {
    List<Member> dead =
        members.values().stream()
            .map(entry -> entry.member)
            .filter(member -> member.liveness() == Member.Liveness.DEAD)
            .toList();
    return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(random.nextInt(dead.size())));
  }

  /**
   * Creates the message by which this node introduces itself to a node of which it knows only the
   * address.
   *
   * @param host the IP address
   * @param port the TCP port
   * @return the message
   */
  public synchronized Outgoing syncRequest(String host, int port) {
    return new Outgoing(self.node(), host, port, introduction().build());
  }

  private Gossip.Builder introduction() {
    return message(Gossip.Kind.SYNC)
        .addStates(self.toMessage())
        .addAllLeftRuns(leftRuns)
        .setViewHash(viewHash);
  }

  /**
   * Creates sync requests by which this node introduces itself to a few members, those of its own
   * availability zone first; each answers with its view.
   *
   * @return messages to send
   */
  public synchronized List<Outgoing> initialSyncRequests() {
    return sameZoneFirst().stream()
        .limit(INITIAL_SYNC_PEERS)
        .map(member -> syncRequest(member.host(), member.port()))
        .toList();
  }

  /**
   * Creates messages that carry this node's own state to some members at once, those of its own
   * availability zone first; the other members receive it by gossip.
   *
   * @return messages to send
   */
  public synchronized List<Outgoing> announcements() {
    Gossip state = message(Gossip.Kind.ACK).addStates(self.toMessage()).build();
    List<Member> others = sameZoneFirst();
    long sameZoneCount = others.stream().filter(this::isInSameZone).count();
    return others.stream()
        .skip(Math.max(0, sameZoneCount - SAME_ZONE_ANNOUNCEMENTS))
        .limit(Math.min(sameZoneCount, SAME_ZONE_ANNOUNCEMENTS) + OTHER_ZONE_ANNOUNCEMENTS)
        .map(member -> messageTo(member, state))
        .toList();
  }

  private boolean isInSameZone(Member member) {
    return member.zone().equals(self.zone());
  }

  /**
   * Creates messages that announce the configuration offset of this node to all reachable members
   * of its availability zone.
   *
   * @param answerAge time since the source of the configuration answered this node, or empty if
   *     this node does not read it
   * @return messages to send
   */
  public synchronized List<Outgoing> configAnnouncements(Optional<Duration> answerAge) {
    Gossip.Builder announcement = message(Gossip.Kind.ACK).setReadsSource(answerAge.isPresent());
    answerAge.ifPresent(age -> announcement.setSourceAnswerAgeMillis(age.toMillis()));
    return sameZoneFirst().stream()
        .filter(this::isInSameZone)
        .map(member -> messageTo(member, announcement.build()))
        .toList();
  }

  /**
   * Creates messages that announce the configuration offset of this node to some members.
   *
   * @param receivers the members; those that are not reachable are left out
   * @return messages to send
   */
  public synchronized List<Outgoing> configAnnouncementsTo(List<NodeName> receivers) {
    Gossip announcement = message(Gossip.Kind.ACK).build();
    return receivers.stream()
        .map(members::get)
        .filter(entry -> entry != null && entry.member.reachable())
        .map(entry -> messageTo(entry.member, announcement))
        .toList();
  }

  /**
   * Creates messages that carry suspicions against requests to all reachable members.
   *
   * @param suspicions the suspicions, few enough for a datagram
   * @return messages to send
   */
  public synchronized List<Outgoing> suspicionAnnouncements(List<RequestSuspicion> suspicions) {
    Gossip announcement = message(Gossip.Kind.ACK).addAllSuspicions(suspicions).build();
    return sameZoneFirst().stream().map(member -> messageTo(member, announcement)).toList();
  }

  /**
   * Creates a message that carries suspicions against requests to one member.
   *
   * @param receiver the member
   * @param suspicions the suspicions, few enough for a datagram
   * @return the message to send, or empty if the member is not known
   */
  public synchronized Optional<Outgoing> suspicionReply(
      NodeName receiver, List<RequestSuspicion> suspicions) {
    Gossip reply = message(Gossip.Kind.ACK).addAllSuspicions(suspicions).build();
    return member(receiver).map(member -> messageTo(member, reply));
  }

  /**
   * Creates messages that carry the left runs of this node's target to the members that keep them.
   *
   * @return messages to send
   */
  public synchronized List<Outgoing> leaveAnnouncements() {
    Gossip announcement = message(Gossip.Kind.ACK).addAllLeftRuns(leftRuns).build();
    List<Member> others = sameZoneFirst();
    long sameZoneCount = others.stream().filter(this::isInSameZone).count();
    return others.stream()
        .skip(Math.max(0, sameZoneCount - SAME_ZONE_LEAVE_KEEPERS))
        .limit(Math.min(sameZoneCount, SAME_ZONE_LEAVE_KEEPERS) + OTHER_ZONE_LEAVE_KEEPERS)
        .map(member -> messageTo(member, announcement))
        .toList();
  }

  /**
   * Creates a message that returns to a member the left runs of its target that it announced.
   *
   * @param receiver the member
   * @param runs the runs
   * @return the message to send, or empty if the member is not known
   */
  public synchronized Optional<Outgoing> leaveReply(NodeName receiver, List<LeftTargetRun> runs) {
    Gossip reply = message(Gossip.Kind.ACK).addAllReceiverLeftRuns(runs).build();
    return member(receiver).map(member -> messageTo(member, reply));
  }

  private List<Member> sameZoneFirst() {
    List<Member> others = new ArrayList<>();
    for (MemberEntry entry : members.values()) {
      if (entry.member.reachable() && !entry.member.node().equals(self.node())) {
        others.add(entry.member);
      }
    }
    Collections.shuffle(others, new Random(random.nextLong()));
    others.sort(Comparator.comparing(member -> !isInSameZone(member)));
    return others;
  }

  /** {@return a hash of all states known, which changes with each of them} */
  public synchronized long viewHash() {
    return viewHash;
  }

  /**
   * Handles a message from another node.
   *
   * @param message the message
   * @param nowNanos the current time
   * @return messages to send
   */
  public synchronized List<Outgoing> receive(Gossip message, long nowNanos) {
    List<Outgoing> outgoing = new ArrayList<>();
    boolean wholeView = message.getKind() == Gossip.Kind.SYNC && message.getSequence() > 0;
    for (MemberState state : message.getStatesList()) {
      parse(state).ifPresent(member -> receiveState(member, !wholeView, nowNanos));
    }
    if (!Names.isName(message.getSender())) {
      return outgoing;
    }
    NodeName sender = new NodeName(message.getSender());
    switch (message.getKind()) {
      case PING -> sendAck(sender, message.getSequence(), outgoing);
      case ACK -> handleAck(message.getSequence(), outgoing);
      case PING_REQUEST -> pingForRequester(sender, message, nowNanos, outgoing);
      case SYNC -> answerSync(sender, message, outgoing);
      case UNRECOGNIZED -> {}
    }
    return outgoing;
  }

  // A state without zone and region is that of an unreachable member; it is used if the member is
  // known.
  private Optional<Member> parse(MemberState state) {
    if (!Names.isName(state.getNode())) {
      return Optional.empty();
    }
    if (Names.isName(state.getZone()) && Names.isName(state.getRegion())) {
      return Optional.of(Member.of(state));
    }
    MemberEntry entry = members.get(new NodeName(state.getNode()));
    boolean unreachable =
        state.getLiveness() == MemberState.Liveness.DEAD
            || state.getLiveness() == MemberState.Liveness.LEFT;
    return unreachable && entry != null
        ? Optional.of(Member.unreachable(state, entry.member))
        : Optional.empty();
  }

  private void receiveState(Member member, boolean disseminate, long nowNanos) {
    if (member.node().equals(self.node())) {
      refute(member);
    } else if (member.region().equals(self.region())) {
      if (disseminate) {
        mergeAndDisseminate(member, nowNanos);
      } else {
        merge(member, nowNanos);
      }
    }
  }

  private void refute(Member claimed) {
    if (claimed.incarnation().compareTo(self.incarnation()) > 0) {
      supersedingIncarnation = Optional.of(claimed.incarnation());
      return;
    }
    boolean aboutThisRun = claimed.incarnation().equals(self.incarnation());
    boolean reportedNotAlive = claimed.liveness() != Member.Liveness.ALIVE;
    boolean leaving = self.liveness() == Member.Liveness.LEFT;
    if (aboutThisRun && reportedNotAlive && !leaving && claimed.version() >= self.version()) {
      updateSelf(self.liveness(), self.draining(), claimed.version() + 1, self.servedService());
    }
  }

  // Stores a state that overrides the known one, and disseminates it.
  private void mergeAndDisseminate(Member member, long nowNanos) {
    if (merge(member, nowNanos)) {
      disseminationQueue.add(member.node());
    }
  }

  // Stores a state if it overrides the known one, and returns whether it does.
  private boolean merge(Member member, long nowNanos) {
    MemberEntry entry = members.get(member.node());
    boolean newer =
        entry == null
            ? member.reachable() && members.size() < MAX_MEMBERS
            : member.overrides(entry.member);
    if (!newer) {
      return false;
    }
    store(member);
    MemberEntry stored = members.get(member.node());
    if (member.liveness() == Member.Liveness.SUSPECT) {
      stored.suspectedSinceNanos = nowNanos;
      suspected.add(member.node());
    }
    if (!member.reachable()) {
      stored.unreachableSinceNanos = nowNanos;
    }
    return true;
  }

  private void store(Member member) {
    MemberEntry entry = members.get(member.node());
    if (entry == null) {
      members.put(member.node(), new MemberEntry(member));
    } else {
      viewHash ^= entry.member.stateHash();
      entry.member = member;
    }
    viewHash ^= member.stateHash();
  }

  private void sendAck(NodeName sender, long sequence, List<Outgoing> outgoing) {
    MemberEntry entry = members.get(sender);
    if (entry != null) {
      Gossip.Builder ack =
          withPiggybackedStates(Gossip.Kind.ACK, entry.member).setSequence(sequence);
      if (entry.member.liveness() != Member.Liveness.ALIVE) {
        // Tells a member that was paused that it counts as suspected or dead, so that it refutes.
        ack.addStates(entry.member.toMessage());
      }
      outgoing.add(messageTo(entry.member, ack.build()));
    }
  }

  private void handleAck(long sequence, List<Outgoing> outgoing) {
    PendingPing pending = pendingPings.remove(sequence);
    if (pending == null) {
      indirectPings.remove(sequence);
      return;
    }
    if (pending.requester().isPresent()) {
      MemberEntry requester = members.get(pending.requester().get());
      if (requester != null) {
        Gossip ack =
            withPiggybackedStates(Gossip.Kind.ACK, requester.member)
                .setSequence(pending.requesterSequence())
                .build();
        outgoing.add(messageTo(requester.member, ack));
      }
    }
  }

  private void pingForRequester(
      NodeName sender, Gossip message, long nowNanos, List<Outgoing> outgoing) {
    if (!Names.isName(message.getSubject())) {
      return;
    }
    MemberEntry subject = members.get(new NodeName(message.getSubject()));
    if (subject != null) {
      ping(subject.member, Optional.of(sender), message.getSequence(), nowNanos, outgoing);
    }
  }

  private void answerSync(NodeName sender, Gossip message, List<Outgoing> outgoing) {
    MemberEntry entry = members.get(sender);
    boolean isAnswer = message.getSequence() > 0;
    if (entry == null || isAnswer || message.getViewHash() == viewHash) {
      return;
    }
    List<MemberState> states = new ArrayList<>();
    members.values().forEach(other -> states.add(other.member.toMessage()));
    for (int from = 0; from < states.size(); from += STATES_PER_SYNC_MESSAGE) {
      int to = Math.min(states.size(), from + STATES_PER_SYNC_MESSAGE);
      Gossip answer =
          message(Gossip.Kind.SYNC).setSequence(1).addAllStates(states.subList(from, to)).build();
      outgoing.add(messageTo(entry.member, answer));
    }
  }

  private void ping(
      Member member,
      Optional<NodeName> requester,
      long requesterSequence,
      long nowNanos,
      List<Outgoing> outgoing) {
    long sequence = ++nextSequence;
    pendingPings.put(
        sequence, new PendingPing(member.node(), requester, requesterSequence, nowNanos));
    outgoing.add(
        messageTo(
            member, withPiggybackedStates(Gossip.Kind.PING, member).setSequence(sequence).build()));
  }

  private void handlePingTimeouts(long nowNanos, List<Outgoing> outgoing) {
    List<Map.Entry<Long, PendingPing>> timedOut =
        pendingPings.entrySet().stream()
            .filter(ping -> nowNanos - ping.getValue().sentNanos() >= timings.ackTimeoutNanos())
            .toList();
    for (Map.Entry<Long, PendingPing> ping : timedOut) {
      pendingPings.remove(ping.getKey());
      if (ping.getValue().requester().isEmpty()) {
        requestIndirectPings(ping.getKey(), ping.getValue().subject(), nowNanos, outgoing);
      }
    }
    suspectUnresponsive(nowNanos);
  }

  private void requestIndirectPings(
      long sequence, NodeName subject, long nowNanos, List<Outgoing> outgoing) {
    indirectPings.put(sequence, subject);
    indirectPingStartNanos.put(sequence, nowNanos);
    for (int i = 0; i < timings.indirectPingHelpers(); i++) {
      Optional<Member> helper = randomReachable(true);
      if (helper.isPresent() && !helper.get().node().equals(subject)) {
        Gossip request =
            withPiggybackedStates(Gossip.Kind.PING_REQUEST, helper.get())
                .setSequence(sequence)
                .setSubject(subject.value())
                .build();
        outgoing.add(messageTo(helper.get(), request));
      }
    }
  }

  private void suspectUnresponsive(long nowNanos) {
    List<Long> expired =
        indirectPingStartNanos.entrySet().stream()
            .filter(entry -> nowNanos - entry.getValue() >= 2 * timings.ackTimeoutNanos())
            .map(Map.Entry::getKey)
            .toList();
    for (Long sequence : expired) {
      indirectPingStartNanos.remove(sequence);
      NodeName subject = indirectPings.remove(sequence);
      MemberEntry entry = subject == null ? null : members.get(subject);
      if (entry != null && entry.member.liveness() == Member.Liveness.ALIVE) {
        mergeAndDisseminate(entry.member.withLiveness(Member.Liveness.SUSPECT), nowNanos);
      }
    }
  }

  private void declareDead(long nowNanos) {
    for (NodeName node : List.copyOf(suspected)) {
      MemberEntry entry = members.get(node);
      if (entry.member.liveness() != Member.Liveness.SUSPECT) {
        suspected.remove(node);
      } else if (nowNanos - entry.suspectedSinceNanos >= timings.suspicionTimeoutNanos()) {
        mergeAndDisseminate(entry.member.withLiveness(Member.Liveness.DEAD), nowNanos);
      }
    }
  }

  // Removes members that have been unreachable for so long that no message about them is in flight.
  private void removeExpired(long nowNanos) {
    List<MemberEntry> unreachable =
        members.values().stream()
            .filter(entry -> !entry.member.reachable())
            .filter(entry -> nowNanos - entry.unreachableSinceNanos >= UNREACHABLE_RETENTION_NANOS)
            .toList();
    for (MemberEntry entry : unreachable) {
      members.remove(entry.member.node());
      viewHash ^= entry.member.stateHash();
    }
  }

  private boolean isOtherZoneTurn() {
    zoneCyclePosition = (zoneCyclePosition + 1) % ZONE_CYCLE_LENGTH;
    return zoneCyclePosition == 0;
  }

  // Falls back to the other zones if the own zone has no member to ping, and the reverse.
  private Optional<Member> nextToPing() {
    boolean sameZone = !isOtherZoneTurn();
    return nextToPing(sameZone).or(() -> nextToPing(!sameZone));
  }

  private Optional<Member> nextToPing(boolean sameZone) {
    List<NodeName> order = sameZone ? sameZonePingOrder : otherZonePingOrder;
    if (order.isEmpty()) {
      refill(order, sameZone);
    }
    while (!order.isEmpty()) {
      MemberEntry entry = members.get(order.removeLast());
      if (entry != null && entry.member.reachable()) {
        return Optional.of(entry.member);
      }
    }
    return Optional.empty();
  }

  private void refill(List<NodeName> order, boolean sameZone) {
    reachableOthers(sameZone).forEach(member -> order.add(member.node()));
    Collections.sort(order);
    Collections.shuffle(order, new Random(random.nextLong()));
  }

  private List<Member> reachableOthers(boolean sameZone) {
    return members.values().stream()
        .map(entry -> entry.member)
        .filter(member -> member.reachable() && !member.node().equals(self.node()))
        .filter(member -> isInSameZone(member) == sameZone)
        .toList();
  }

  private Optional<Member> randomReachable(boolean sameZone) {
    List<Member> preferred = reachableOthers(sameZone);
    List<Member> candidates = preferred.isEmpty() ? reachableOthers(!sameZone) : preferred;
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  private Gossip.Builder message(Gossip.Kind kind) {
    Gossip.Builder builder =
        Gossip.newBuilder()
            .setKind(kind)
            .setSender(self.node().value())
            .setConfigOffset(configOffset)
            .setSourceEpoch(sourceEpoch.number())
            .setSuspicionsHash(suspicionsHash);
    evacuatedZones.ifPresent(builder::setEvacuatedZones);
    return builder;
  }

  private Gossip.Builder withPiggybackedStates(Gossip.Kind kind, Member receiver) {
    Gossip.Builder builder = message(kind);
    for (NodeName node :
        disseminationQueue.next(
            isInSameZone(receiver), timings.maxStatesPerMessage(), members.size())) {
      MemberEntry entry = members.get(node);
      if (entry != null) {
        builder.addStates(entry.member.toMessage());
      }
    }
    return builder;
  }

  private static Outgoing messageTo(Member member, Gossip message) {
    return new Outgoing(member.node(), member.host(), member.port(), message);
  }

  /** {@return the states of all members known, this node included} */
  public synchronized List<Member> members() {
    return members.values().stream().map(entry -> entry.member).toList();
  }

  /**
   * Returns the state of a member.
   *
   * @param node the member
   * @return the state, or empty if the member is not known
   */
  public synchronized Optional<Member> member(NodeName node) {
    return Optional.ofNullable(members.get(node)).map(entry -> entry.member);
  }

  /** {@return this node's own state} */
  public synchronized Member self() {
    return self;
  }

  /**
   * Returns the members that have been dead for at least some time.
   *
   * @param minDeadNanos the least time since the member was declared dead, in nanoseconds
   * @param nowNanos the current time
   * @return the members
   */
  public synchronized List<Member> deadFor(long minDeadNanos, long nowNanos) {
    return members.values().stream()
        .filter(entry -> entry.member.liveness() == Member.Liveness.DEAD)
        .filter(entry -> nowNanos - entry.unreachableSinceNanos >= minDeadNanos)
        .map(entry -> entry.member)
        .toList();
  }
}
