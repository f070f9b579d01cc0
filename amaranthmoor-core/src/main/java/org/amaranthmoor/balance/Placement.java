package org.amaranthmoor.balance;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ZoneName;

/**
 * The order in which one request asks servers to take it.
 *
 * <p>Answers three load patterns: a server in a slow phase beside others that are not, which is
 * passed over; a zone with more callers than its own servers can serve, where the overflow goes to
 * other zones; and a burst beyond all servers, where a request asks only a few before it is
 * refused. A server whose stated rate leaves no start now is asked after the others. Servers of the
 * own availability zone come first, those that expect to answer soon before those that still expect
 * to be in time; then some of other zones; at last the own zone is asked to answer late, if it has
 * room for that. Confined to one thread.
 */
public final class Placement {

  /** Servers of the own availability zone that are asked at first. */
  private static final int NEAR_SERVERS = 4;

  /** Servers of the own availability zone that are asked once more, with more patience. */
  private static final int NEAR_AGAIN = 2;

  /** Servers of other availability zones that are asked; each costs bytes between zones. */
  private static final int FAR_SERVERS = 2;

  /** Servers of the own availability zone that are asked to answer late. */
  private static final int LATE_SERVERS = 1;

  /** Servers that are asked to answer a request late which a running one needs. */
  private static final int LATE_SERVERS_IF_NEEDED = 2;

  /** Share of the time to spare that a request waits at first where others may be free, percent. */
  private static final int SOON_PERCENT = 30;

  /** Share of the time to spare that a request waits in the own zone, in percent. */
  private static final int NEAR_PERCENT = 90;

  /** Share of the time to spare that a request waits in another zone, which is farther, percent. */
  private static final int FAR_PERCENT = 75;

  /** All the time until the deadline. */
  private static final int NO_LIMIT = 0;

  /**
   * A server to ask.
   *
   * @param server the server
   * @param patiencePercent share of the time that the work leaves until the objective which the
   *     request may wait there, in percent; 0 for all time until the deadline
   */
  public record Choice(Server server, int patiencePercent) {}

  /** What a server said when it was asked. */
  public enum Reply {
    /** It has taken the request, or may have. */
    TAKEN,

    /** It would be in time, but not soon enough for the patience it was asked with. */
    LATER,

    /** It cannot be in time. */
    BUSY
  }

  /** What is asked for a request. */
  public enum Worth {
    /** A request that can still be in time. */
    IN_TIME,

    /** A request that a running one needs: asked for whatever was refused before. */
    NEEDED,

    /** A request whose objective has passed: only the own zone is asked, to answer late. */
    LATE
  }

  private enum Phase {
    SOON,
    NEAR,
    FAR,
    LATE,
    OVER;

    Phase next() {
      return switch (this) {
        case SOON -> NEAR;
        case NEAR -> FAR;
        case FAR -> LATE;
        case LATE, OVER -> OVER;
      };
    }
  }

  private final Picker picker;
  private final List<Server> near;
  private final List<Server> far;
  private final boolean byZone;
  private final ZoneName ownZone;
  private final RuleName rule;
  private final boolean needed;
  private final Set<Server> asked = new HashSet<>();
  private final Set<Server> askedAgain = new HashSet<>();
  private final Set<Server> reached = new HashSet<>();
  private Phase phase;
  private int askedInPhase;

  /**
   * Creates a placement that has asked nobody.
   *
   * @param servers the servers of the service
   * @param picker ranks servers
   * @param ownZone the availability zone of the entry side
   * @param rule the rule of the request
   * @param worth what is asked for the request
   */
  public Placement(
      List<Server> servers, Picker picker, ZoneName ownZone, RuleName rule, Worth worth) {
    this.picker = picker;
    this.ownZone = ownZone;
    this.rule = rule;
    this.needed = worth == Worth.NEEDED;
    this.phase = worth == Worth.LATE ? Phase.LATE : Phase.SOON;
    this.byZone = picker.policy() instanceof PickPolicy.ZoneFirst;
    this.near = byZone ? servers.stream().filter(s -> s.zone().equals(ownZone)).toList() : servers;
    this.far =
        byZone ? servers.stream().filter(s -> !s.zone().equals(ownZone)).toList() : List.of();
  }

  /**
   * Returns the next server to ask.
   *
   * @param nowNanos the current time
   * @param random source of randomness
   * @return the server, or empty if no further one is worth asking
   */
  public Optional<Choice> next(long nowNanos, RandomGenerator random) {
    if (!byZone) {
      return pick(near, asked, NO_LIMIT, nowNanos, random);
    }
    Optional<Choice> choice = Optional.empty();
    while (choice.isEmpty() && phase != Phase.OVER) {
      choice = nextInPhase(nowNanos, random);
      if (choice.isEmpty()) {
        phase = phase.next();
        askedInPhase = 0;
      }
    }
    askedInPhase++;
    return choice;
  }

  private Optional<Choice> nextInPhase(long nowNanos, RandomGenerator random) {
    return switch (phase) {
      case SOON ->
          askedInPhase < NEAR_SERVERS
              ? pick(near, asked, SOON_PERCENT, nowNanos, random)
              : Optional.empty();
      case NEAR ->
          askedInPhase < NEAR_AGAIN && !needed
              ? pick(near, askedAgain, NEAR_PERCENT, nowNanos, random)
              : Optional.empty();
      case FAR ->
          askedInPhase < FAR_SERVERS
              ? pick(far, asked, FAR_PERCENT, nowNanos, random)
              : Optional.empty();
      case LATE -> askedInPhase < lateServers() ? pickLate(nowNanos, random) : Optional.empty();
      case OVER -> Optional.empty();
    };
  }

  private int lateServers() {
    return needed ? LATE_SERVERS_IF_NEEDED : LATE_SERVERS;
  }

  // A request that a running one needs is worth the way to another zone, even if it will be late.
  private Optional<Choice> pickLate(long nowNanos, RandomGenerator random) {
    Optional<Choice> choice = pick(near, reached, NO_LIMIT, nowNanos, random);
    return choice.isEmpty() && needed ? pick(far, reached, NO_LIMIT, nowNanos, random) : choice;
  }

  private Optional<Choice> pick(
      List<Server> servers,
      Set<Server> excluded,
      int patience,
      long nowNanos,
      RandomGenerator random) {
    Refusals.Kind kind = new Refusals.Kind(rule, patience);
    List<Server> open =
        servers.stream()
            .filter(server -> needed || !server.stats().refusals().pausing(kind, nowNanos))
            .toList();
    List<Server> startable =
        open.stream().filter(server -> !server.stats().awaitsStart(nowNanos)).toList();
    Optional<Server> server =
        picker
            .pick(startable, excluded, nowNanos, random)
            .or(() -> picker.pick(open, excluded, nowNanos, random));
    server.ifPresent(excluded::add);
    return server.map(found -> new Choice(found, patience));
  }

  /**
   * Notes that the request has or may have arrived at a server, which is then not asked again.
   *
   * @param server the server
   */
  public void onReached(Server server) {
    reached.add(server);
    asked.add(server);
    askedAgain.add(server);
  }

  /**
   * Notes what a server said.
   *
   * @param choice the server as it was asked
   * @param reply what it said
   * @param nowNanos the current time
   */
  public void onReply(Choice choice, Reply reply, long nowNanos) {
    Refusals refusals = choice.server().stats().refusals();
    Refusals.Kind kind = new Refusals.Kind(rule, choice.patiencePercent());
    switch (reply) {
      case TAKEN -> refusals.onTaken(kind);
      case LATER -> noteRefusal(choice.server(), kind, nowNanos);
      case BUSY -> {
        askedAgain.add(choice.server());
        noteRefusal(choice.server(), kind, nowNanos);
        if (choice.patiencePercent() == SOON_PERCENT) {
          noteRefusal(choice.server(), new Refusals.Kind(rule, NEAR_PERCENT), nowNanos);
        }
      }
    }
  }

  private void noteRefusal(Server server, Refusals.Kind kind, long nowNanos) {
    if (byZone && !needed) {
      server.stats().refusals().onRefused(kind, server.zone().equals(ownZone), nowNanos);
    }
  }

  /** {@return whether a further server may be asked} */
  public boolean mayGoOn() {
    return byZone ? phase != Phase.OVER : near.size() > asked.size();
  }
}
