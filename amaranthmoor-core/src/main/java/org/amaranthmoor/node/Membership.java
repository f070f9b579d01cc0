package org.amaranthmoor.node;

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
import org.amaranthmoor.protocol.node.Gossip;
import org.amaranthmoor.protocol.node.MemberState;

/**
 * Failure detection and spreading of member states among the nodes of one region.
 *
 * <p>Each period a node pings one member, in a shuffled order: most times one of its own
 * availability zone, because bytes between zones are dear. If no ack comes, a few helpers ping on
 * its behalf; then the member is suspected, and declared dead unless it refutes by raising its
 * version. Changed states ride on the messages that flow anyway. Members of other regions are
 * ignored, so that losing a region marks none of its nodes dead.
 *
 * <p>Invariant: a member's (incarnation, version) as known here never falls. Does no I/O: methods
 * return what is to be sent. Safe for use by several threads.
 */
public final class Membership {

  /** Most states in a message that compares whole views, so that it fits a datagram. */
  static final int STATES_PER_SYNC_MESSAGE = 12;

  /** Members that a node introduces itself to at once. */
  private static final int INTRODUCTIONS = 4;

  /**
   * Members of the own availability zone that a change of this node's own state is sent to at once:
   * a request asks there first, and after a mass restart nobody else knows of this node's target.
   */
  private static final int NEAR_ANNOUNCEMENTS = 40;

  /** Members of other availability zones that such a change is sent to at once. */
  private static final int FAR_ANNOUNCEMENTS = 16;

  /** Of this many pings and syncs in a row one goes to another availability zone. */
  private static final int FAR_TURN = 4;

  /** Time between two tries to reach a member that counts as dead, in nanoseconds. */
  private static final long RETRY_DEAD_NANOS = 1_500_000_000L;

  /** Time after which a member that is gone is forgotten, in nanoseconds. */
  static final long FORGET_NANOS = 600_000_000_000L;

  /**
   * A message to be sent.
   *
   * @param to the receiver
   * @param host the receiver's IP address
   * @param port the receiver's TCP port
   * @param message the message
   */
  public record Outgoing(NodeName to, String host, int port, Gossip message) {}

  private record PendingPing(
      NodeName subject, Optional<NodeName> onBehalfOf, long behalfSequence, long sentNanos) {}

  private static final class Known {
    private Member member;
    private long suspectSinceNanos;
    private long goneSinceNanos;

    private Known(Member member) {
      this.member = member;
    }
  }

  private final GossipTimings timings;
  private final RandomGenerator random;
  private final Map<NodeName, Known> members = new HashMap<>();
  private final Map<Long, PendingPing> pendingPings = new HashMap<>();
  private final Map<Long, NodeName> helpedPings = new HashMap<>();
  private final Map<Long, Long> helpedSinceNanos = new HashMap<>();
  private final Set<NodeName> suspected = new HashSet<>();
  private final Dissemination dissemination = new Dissemination();
  private final List<NodeName> nearPingOrder = new ArrayList<>();
  private final List<NodeName> farPingOrder = new ArrayList<>();
  private Member self;
  private Optional<Incarnation> overtakenBy = Optional.empty();
  private long configOffset = -1;
  private SourceEpoch sourceEpoch = SourceEpoch.UNKNOWN;
  private long viewHash;
  private long nextSequence;
  private int turn;
  private long nextPingNanos;
  private long nextSyncNanos;
  private long nextRetryNanos;

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
    put(self);
  }

  /**
   * Learns of a member from elsewhere, such as the log.
   *
   * @param member the member
   */
  public synchronized void learn(Member member) {
    if (member.region().equals(self.region()) && !member.node().equals(self.node())) {
      // Every member learns this from the same source, so it is not spread.
      keep(member, 0);
    }
  }

  /**
   * Sets whether this node drains.
   *
   * @param draining whether it refuses new work
   */
  public synchronized void setDraining(boolean draining) {
    changeSelf(self.liveness(), draining, self.version() + 1, self.servedService());
  }

  /**
   * Sets what this node's target serves and whether it takes new work; does nothing if that is
   * known.
   *
   * @param servedService what it serves, or empty if that is not known
   * @param draining whether this node refuses new work
   */
  public synchronized void setServedService(
      Optional<ServedService> servedService, boolean draining) {
    boolean changed = !servedService.equals(self.servedService()) || draining != self.draining();
    if (changed) {
      changeSelf(self.liveness(), draining, self.version() + 1, servedService);
    }
  }

  /** Marks this node as leaving; its state is spread until it stops. */
  public synchronized void leave() {
    changeSelf(Member.Liveness.LEFT, true, self.version() + 1, self.servedService());
  }

  /**
   * Returns an incarnation of this node that others have seen and that is greater than the present
   * one, as after a start with a clock that was set back.
   *
   * @return the incarnation that this node has to exceed, or empty if there is none
   */
  public synchronized Optional<Incarnation> overtakenBy() {
    return overtakenBy.filter(seen -> seen.compareTo(self.incarnation()) > 0);
  }

  /**
   * Gives this node a new incarnation.
   *
   * @param incarnation the incarnation, greater than the present one
   */
  public synchronized void renew(Incarnation incarnation) {
    self = selfAs(incarnation, self.liveness(), self.draining(), 0, self.servedService());
    put(self);
    dissemination.add(self.node());
  }

  /**
   * Sets the offset that this node's messages state.
   *
   * @param offset offset of the newest configuration in force here
   */
  public synchronized void setConfigOffset(long offset) {
    configOffset = offset;
  }

  /**
   * Sets the epoch of the source that this node's messages state.
   *
   * @param epoch the newest epoch that is known here
   */
  public synchronized void setSourceEpoch(SourceEpoch epoch) {
    sourceEpoch = epoch;
  }

  private void changeSelf(
      Member.Liveness liveness,
      boolean draining,
      long version,
      Optional<ServedService> servedService) {
    self = selfAs(self.incarnation(), liveness, draining, version, servedService);
    put(self);
    dissemination.add(self.node());
  }

  private Member selfAs(
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
   * Does what is due.
   *
   * @param nowNanos the current time
   * @return messages to send
   */
  public synchronized List<Outgoing> tick(long nowNanos) {
    List<Outgoing> out = new ArrayList<>();
    handleSilence(nowNanos, out);
    declareDead(nowNanos);
    if (nowNanos >= nextPingNanos) {
      nextPingNanos = Math.max(nextPingNanos + timings.pingPeriodNanos(), nowNanos);
      nextToPing().ifPresent(member -> ping(member, Optional.empty(), 0, nowNanos, out));
    }
    if (nowNanos >= nextSyncNanos) {
      nextSyncNanos = nowNanos + timings.syncPeriodNanos();
      forgetGone(nowNanos);
      randomReachable(!isFarTurn())
          .ifPresent(member -> out.add(syncRequest(member.host(), member.port())));
    }
    if (nowNanos >= nextRetryNanos) {
      nextRetryNanos = nowNanos + RETRY_DEAD_NANOS;
      randomDead().ifPresent(member -> out.add(wakeUp(member)));
    }
    return out;
  }

  // States what is believed of the member, so that it refutes.
  private Outgoing wakeUp(Member dead) {
    Gossip message =
        message(Gossip.Kind.SYNC)
            .addStates(self.toMessage())
            .addStates(dead.toMessage())
            .setViewHash(viewHash)
            .build();
    return to(dead, message);
  }

  // A member that was cut off, or that started again knowing nobody, is found again in this way.
  private Optional<Member> randomDead() {
    List<Member> dead =
        members.values().stream()
            .map(known -> known.member)
            .filter(member -> member.liveness() == Member.Liveness.DEAD)
            .toList();
    return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(random.nextInt(dead.size())));
  }

  /**
   * Creates the message by which a node that knows an address only introduces itself.
   *
   * @param host the IP address
   * @param port the TCP port
   * @return the message
   */
  public synchronized Outgoing syncRequest(String host, int port) {
    return new Outgoing(
        self.node(),
        host,
        port,
        message(Gossip.Kind.SYNC).addStates(self.toMessage()).setViewHash(viewHash).build());
  }

  /**
   * Creates messages by which this node introduces itself to some members, those of its own
   * availability zone first; each answers with what it knows.
   *
   * @return messages to send
   */
  public synchronized List<Outgoing> introductions() {
    return nearestFirst().stream()
        .limit(INTRODUCTIONS)
        .map(member -> syncRequest(member.host(), member.port()))
        .toList();
  }

  /**
   * Creates messages that carry this node's own state to some members at once, those of its own
   * availability zone first; gossip carries it to the others.
   *
   * @return messages to send
   */
  public synchronized List<Outgoing> announcements() {
    Gossip state = message(Gossip.Kind.ACK).addStates(self.toMessage()).build();
    List<Member> others = nearestFirst();
    long near = others.stream().filter(this::isNear).count();
    return others.stream()
        .skip(Math.max(0, near - NEAR_ANNOUNCEMENTS))
        .limit(Math.min(near, NEAR_ANNOUNCEMENTS) + FAR_ANNOUNCEMENTS)
        .map(member -> to(member, state))
        .toList();
  }

  private boolean isNear(Member member) {
    return member.zone().equals(self.zone());
  }

  /**
   * Creates messages that state this node's configuration to all members of its availability zone.
   *
   * @param readsSource whether this node reads it from its source, which answers
   * @return messages to send
   */
  public synchronized List<Outgoing> configSigns(boolean readsSource) {
    Gossip sign = message(Gossip.Kind.ACK).setReadsSource(readsSource).build();
    return nearestFirst().stream().filter(this::isNear).map(member -> to(member, sign)).toList();
  }

  private List<Member> nearestFirst() {
    List<Member> others = new ArrayList<>();
    for (Known known : members.values()) {
      if (known.member.reachable() && !known.member.node().equals(self.node())) {
        others.add(known.member);
      }
    }
    Collections.shuffle(others, new Random(random.nextLong()));
    others.sort(Comparator.comparing(member -> !isNear(member)));
    return others;
  }

  /** {@return a hash of all states known; it changes when any of them does} */
  public synchronized long viewHash() {
    return viewHash;
  }

  /**
   * Takes in a message.
   *
   * @param message the message
   * @param nowNanos the current time
   * @return messages to send
   */
  public synchronized List<Outgoing> receive(Gossip message, long nowNanos) {
    List<Outgoing> out = new ArrayList<>();
    boolean wholeView = message.getKind() == Gossip.Kind.SYNC && message.getSequence() > 0;
    for (MemberState state : message.getStatesList()) {
      read(state).ifPresent(member -> receiveState(member, !wholeView, nowNanos));
    }
    if (!Names.isName(message.getSender())) {
      return out;
    }
    NodeName sender = new NodeName(message.getSender());
    switch (message.getKind()) {
      case PING -> reply(sender, message.getSequence(), out);
      case ACK -> receiveAck(message.getSequence(), out);
      case PING_REQUEST -> pingOnBehalf(sender, message, nowNanos, out);
      case SYNC -> answerSync(sender, message, out);
      case UNRECOGNIZED -> {}
    }
    return out;
  }

  // A state without a place is of a member that is gone; it counts if the member is known.
  private Optional<Member> read(MemberState state) {
    if (!Names.isName(state.getNode())) {
      return Optional.empty();
    }
    if (Names.isName(state.getZone()) && Names.isName(state.getRegion())) {
      return Optional.of(Member.of(state));
    }
    Known known = members.get(new NodeName(state.getNode()));
    boolean gone =
        state.getLiveness() == MemberState.Liveness.DEAD
            || state.getLiveness() == MemberState.Liveness.LEFT;
    return gone && known != null ? Optional.of(Member.gone(state, known.member)) : Optional.empty();
  }

  private void receiveState(Member member, boolean spread, long nowNanos) {
    if (member.node().equals(self.node())) {
      refute(member);
    } else if (member.region().equals(self.region())) {
      if (spread) {
        take(member, nowNanos);
      } else {
        keep(member, nowNanos);
      }
    }
  }

  private void refute(Member claimed) {
    if (claimed.incarnation().compareTo(self.incarnation()) > 0) {
      overtakenBy = Optional.of(claimed.incarnation());
      return;
    }
    boolean aboutThisRun = claimed.incarnation().equals(self.incarnation());
    boolean denied = claimed.liveness() != Member.Liveness.ALIVE;
    boolean leaving = self.liveness() == Member.Liveness.LEFT;
    if (aboutThisRun && denied && !leaving && claimed.version() >= self.version()) {
      changeSelf(self.liveness(), self.draining(), claimed.version() + 1, self.servedService());
    }
  }

  // Keeps a state and spreads it if it is news.
  private void take(Member member, long nowNanos) {
    if (keep(member, nowNanos)) {
      dissemination.add(member.node());
    }
  }

  // Keeps a state if it is news, and returns whether it is.
  private boolean keep(Member member, long nowNanos) {
    Known known = members.get(member.node());
    boolean news = known == null ? member.reachable() : member.overrides(known.member);
    if (!news) {
      return false;
    }
    put(member);
    Known stored = members.get(member.node());
    if (member.liveness() == Member.Liveness.SUSPECT) {
      stored.suspectSinceNanos = nowNanos;
      suspected.add(member.node());
    }
    if (!member.reachable()) {
      stored.goneSinceNanos = nowNanos;
    }
    return true;
  }

  private void put(Member member) {
    Known known = members.get(member.node());
    if (known == null) {
      members.put(member.node(), new Known(member));
    } else {
      viewHash ^= known.member.stateHash();
      known.member = member;
    }
    viewHash ^= member.stateHash();
  }

  private void reply(NodeName sender, long sequence, List<Outgoing> out) {
    Known known = members.get(sender);
    if (known != null) {
      Gossip.Builder ack = withRides(Gossip.Kind.ACK, known.member).setSequence(sequence);
      if (known.member.liveness() != Member.Liveness.ALIVE) {
        // Lets a member that was paused learn that it is believed gone, so that it refutes.
        ack.addStates(known.member.toMessage());
      }
      out.add(to(known.member, ack.build()));
    }
  }

  private void receiveAck(long sequence, List<Outgoing> out) {
    PendingPing pending = pendingPings.remove(sequence);
    if (pending == null) {
      helpedPings.remove(sequence);
      return;
    }
    if (pending.onBehalfOf().isPresent()) {
      Known asker = members.get(pending.onBehalfOf().get());
      if (asker != null) {
        Gossip ack =
            withRides(Gossip.Kind.ACK, asker.member).setSequence(pending.behalfSequence()).build();
        out.add(to(asker.member, ack));
      }
    }
  }

  private void pingOnBehalf(NodeName sender, Gossip message, long nowNanos, List<Outgoing> out) {
    if (!Names.isName(message.getSubject())) {
      return;
    }
    Known subject = members.get(new NodeName(message.getSubject()));
    if (subject != null) {
      ping(subject.member, Optional.of(sender), message.getSequence(), nowNanos, out);
    }
  }

  private void answerSync(NodeName sender, Gossip message, List<Outgoing> out) {
    Known known = members.get(sender);
    boolean isAnswer = message.getSequence() > 0;
    if (known == null || isAnswer || message.getViewHash() == viewHash) {
      return;
    }
    List<MemberState> states = new ArrayList<>();
    members.values().forEach(other -> states.add(other.member.toMessage()));
    for (int from = 0; from < states.size(); from += STATES_PER_SYNC_MESSAGE) {
      int to = Math.min(states.size(), from + STATES_PER_SYNC_MESSAGE);
      Gossip answer =
          message(Gossip.Kind.SYNC).setSequence(1).addAllStates(states.subList(from, to)).build();
      out.add(to(known.member, answer));
    }
  }

  private void ping(
      Member member,
      Optional<NodeName> onBehalfOf,
      long behalfSequence,
      long nowNanos,
      List<Outgoing> out) {
    long sequence = ++nextSequence;
    pendingPings.put(
        sequence, new PendingPing(member.node(), onBehalfOf, behalfSequence, nowNanos));
    out.add(to(member, withRides(Gossip.Kind.PING, member).setSequence(sequence).build()));
  }

  private void handleSilence(long nowNanos, List<Outgoing> out) {
    List<Map.Entry<Long, PendingPing>> silent =
        pendingPings.entrySet().stream()
            .filter(ping -> nowNanos - ping.getValue().sentNanos() >= timings.ackTimeoutNanos())
            .toList();
    for (Map.Entry<Long, PendingPing> ping : silent) {
      pendingPings.remove(ping.getKey());
      if (ping.getValue().onBehalfOf().isEmpty()) {
        askHelpers(ping.getKey(), ping.getValue().subject(), nowNanos, out);
      }
    }
    suspectUnhelped(nowNanos);
  }

  private void askHelpers(long sequence, NodeName subject, long nowNanos, List<Outgoing> out) {
    helpedPings.put(sequence, subject);
    helpedSinceNanos.put(sequence, nowNanos);
    for (int i = 0; i < timings.helpers(); i++) {
      Optional<Member> helper = randomReachable(true);
      if (helper.isPresent() && !helper.get().node().equals(subject)) {
        Gossip request =
            withRides(Gossip.Kind.PING_REQUEST, helper.get())
                .setSequence(sequence)
                .setSubject(subject.value())
                .build();
        out.add(to(helper.get(), request));
      }
    }
  }

  private void suspectUnhelped(long nowNanos) {
    List<Long> over =
        helpedSinceNanos.entrySet().stream()
            .filter(entry -> nowNanos - entry.getValue() >= 2 * timings.ackTimeoutNanos())
            .map(Map.Entry::getKey)
            .toList();
    for (Long sequence : over) {
      helpedSinceNanos.remove(sequence);
      NodeName subject = helpedPings.remove(sequence);
      Known known = subject == null ? null : members.get(subject);
      if (known != null && known.member.liveness() == Member.Liveness.ALIVE) {
        take(known.member.withLiveness(Member.Liveness.SUSPECT), nowNanos);
      }
    }
  }

  private void declareDead(long nowNanos) {
    for (NodeName node : List.copyOf(suspected)) {
      Known known = members.get(node);
      if (known.member.liveness() != Member.Liveness.SUSPECT) {
        suspected.remove(node);
      } else if (nowNanos - known.suspectSinceNanos >= timings.suspicionNanos()) {
        take(known.member.withLiveness(Member.Liveness.DEAD), nowNanos);
      }
    }
  }

  // Forgets members that have been gone for so long that no message about them is under way.
  private void forgetGone(long nowNanos) {
    List<Known> gone =
        members.values().stream()
            .filter(known -> !known.member.reachable())
            .filter(known -> nowNanos - known.goneSinceNanos >= FORGET_NANOS)
            .toList();
    for (Known known : gone) {
      members.remove(known.member.node());
      viewHash ^= known.member.stateHash();
    }
  }

  private boolean isFarTurn() {
    turn = (turn + 1) % FAR_TURN;
    return turn == 0;
  }

  // Pings go to the other kind of members where there are none of the kind whose turn it is.
  private Optional<Member> nextToPing() {
    boolean near = !isFarTurn();
    return nextToPing(near).or(() -> nextToPing(!near));
  }

  private Optional<Member> nextToPing(boolean near) {
    List<NodeName> order = near ? nearPingOrder : farPingOrder;
    if (order.isEmpty()) {
      refill(order, near);
    }
    while (!order.isEmpty()) {
      Known known = members.get(order.removeLast());
      if (known != null && known.member.reachable()) {
        return Optional.of(known.member);
      }
    }
    return Optional.empty();
  }

  private void refill(List<NodeName> order, boolean near) {
    others(near).forEach(member -> order.add(member.node()));
    Collections.sort(order);
    Collections.shuffle(order, new Random(random.nextLong()));
  }

  private List<Member> others(boolean near) {
    return members.values().stream()
        .map(known -> known.member)
        .filter(member -> member.reachable() && !member.node().equals(self.node()))
        .filter(member -> isNear(member) == near)
        .toList();
  }

  private Optional<Member> randomReachable(boolean near) {
    List<Member> preferred = others(near);
    List<Member> candidates = preferred.isEmpty() ? others(!near) : preferred;
    return candidates.isEmpty()
        ? Optional.empty()
        : Optional.of(candidates.get(random.nextInt(candidates.size())));
  }

  private Gossip.Builder message(Gossip.Kind kind) {
    return Gossip.newBuilder()
        .setKind(kind)
        .setSender(self.node().value())
        .setConfigOffset(configOffset)
        .setSourceEpoch(sourceEpoch.number());
  }

  private Gossip.Builder withRides(Gossip.Kind kind, Member to) {
    Gossip.Builder builder = message(kind);
    for (NodeName node :
        dissemination.next(isNear(to), timings.statesPerMessage(), members.size())) {
      Known known = members.get(node);
      if (known != null) {
        builder.addStates(known.member.toMessage());
      }
    }
    return builder;
  }

  private static Outgoing to(Member member, Gossip message) {
    return new Outgoing(member.node(), member.host(), member.port(), message);
  }

  /** {@return the states of all members known, this node included} */
  public synchronized List<Member> members() {
    return members.values().stream().map(known -> known.member).toList();
  }

  /**
   * Returns the state of a member.
   *
   * @param node the member
   * @return the state, or empty if the member is not known
   */
  public synchronized Optional<Member> member(NodeName node) {
    return Optional.ofNullable(members.get(node)).map(known -> known.member);
  }

  /** {@return this node's own state} */
  public synchronized Member self() {
    return self;
  }

  /**
   * Returns members that have been dead for a while.
   *
   * @param forNanos how long
   * @param nowNanos the current time
   * @return the members
   */
  public synchronized List<Member> deadFor(long forNanos, long nowNanos) {
    return members.values().stream()
        .filter(known -> known.member.liveness() == Member.Liveness.DEAD)
        .filter(known -> nowNanos - known.goneSinceNanos >= forNanos)
        .map(known -> known.member)
        .toList();
  }
}
