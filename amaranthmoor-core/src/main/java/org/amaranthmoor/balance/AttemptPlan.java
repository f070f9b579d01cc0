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
public final class AttemptPlan {

  /** Servers of the own availability zone that are asked at first. */
  private static final int MAX_SAME_ZONE_SERVERS = 4;

  /** Servers of the own availability zone that are asked once more, with more patience. */
  private static final int MAX_SAME_ZONE_SERVERS_ASKED_AGAIN = 2;

  /** Servers of other availability zones that are asked; each costs bytes between zones. */
  private static final int MAX_OTHER_ZONE_SERVERS = 2;

  /** Servers of the own availability zone that are asked to answer late. */
  private static final int MAX_LATE_SERVERS = 1;

  /** Servers that are asked to answer a request late which a running one needs. */
  private static final int MAX_LATE_SERVERS_IF_NEEDED = 2;

  /** Share of the time to spare that a request waits at first where others may be free, percent. */
  private static final int SHORT_WAIT_PERCENT = 30;

  /** Share of the time to spare that a request waits in the own zone, in percent. */
  private static final int LONG_WAIT_PERCENT = 90;

  /** Share of the time to spare that a request waits in another zone, which is farther, percent. */
  private static final int OTHER_ZONE_WAIT_PERCENT = 75;

  /** All the time until the deadline. */
  private static final int UNTIL_DEADLINE = 0;

  /**
   * A server to ask.
   *
   * @param server the server
   * @param maxWaitPercent share of the time that the work leaves until the objective which the
   *     request may wait there, in percent; 0 for all time until the deadline
   */
  public record Choice(Server server, int maxWaitPercent) {}

  /** What a server said when it was asked. */
  public enum Reply {
    /** It has taken the request, or may have. */
    ACCEPTED,

    /** It would be in time, but not soon enough for the patience it was asked with. */
    WAIT_TOO_LONG,

    /** It cannot be in time. */
    UNAVAILABLE
  }

  /** What is asked for a request. */
  public enum RequestClass {
    /** A request that can still be in time. */
    IN_TIME,

    /** A request that a running one needs: asked for whatever was refused before. */
    NEEDED,

    /** A request whose objective has passed: only the own zone is asked, to answer late. */
    LATE
  }

  private enum Phase {
    SAME_ZONE_SHORT_WAIT,
    SAME_ZONE_LONG_WAIT,
    OTHER_ZONES,
    LATE,
    DONE;

    Phase next() {
      return switch (this) {
        case SAME_ZONE_SHORT_WAIT -> SAME_ZONE_LONG_WAIT;
        case SAME_ZONE_LONG_WAIT -> OTHER_ZONES;
        case OTHER_ZONES -> LATE;
        case LATE, DONE -> DONE;
      };
    }
  }

  private final Picker picker;
  private final List<Server> sameZone;
  private final List<Server> otherZones;
  private final boolean zoneFirst;
  private final ZoneName ownZone;
  private final RuleName rule;
  private final boolean needed;
  private final Set<Server> asked = new HashSet<>();
  private final Set<Server> excludedFromLongWait = new HashSet<>();
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
   * @param requestClass what is asked for the request
   */
  public AttemptPlan(
      List<Server> servers,
      Picker picker,
      ZoneName ownZone,
      RuleName rule,
      RequestClass requestClass) {
    this.picker = picker;
    this.ownZone = ownZone;
    this.rule = rule;
    this.needed = requestClass == RequestClass.NEEDED;
    this.phase = requestClass == RequestClass.LATE ? Phase.LATE : Phase.SAME_ZONE_SHORT_WAIT;
    this.zoneFirst = picker.policy() instanceof PickPolicy.ZoneFirst;
    this.sameZone =
        zoneFirst ? servers.stream().filter(s -> s.zone().equals(ownZone)).toList() : servers;
    this.otherZones =
        zoneFirst ? servers.stream().filter(s -> !s.zone().equals(ownZone)).toList() : List.of();
  }

  /**
   * Returns the next server to ask.
   *
   * @param nowNanos the current time
   * @param random source of randomness
   * @return the server, or empty if no further one is worth asking
   */
  public Optional<Choice> next(long nowNanos, RandomGenerator random) {
    if (!zoneFirst) {
      return pick(sameZone, asked, UNTIL_DEADLINE, nowNanos, random);
    }
    Optional<Choice> choice = Optional.empty();
    while (choice.isEmpty() && phase != Phase.DONE) {
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
      case SAME_ZONE_SHORT_WAIT ->
          askedInPhase < MAX_SAME_ZONE_SERVERS
              ? pick(sameZone, asked, SHORT_WAIT_PERCENT, nowNanos, random)
              : Optional.empty();
      case SAME_ZONE_LONG_WAIT ->
          askedInPhase < MAX_SAME_ZONE_SERVERS_ASKED_AGAIN && !needed
              ? pick(sameZone, excludedFromLongWait, LONG_WAIT_PERCENT, nowNanos, random)
              : Optional.empty();
      case OTHER_ZONES ->
          askedInPhase < MAX_OTHER_ZONE_SERVERS
              ? pick(otherZones, asked, OTHER_ZONE_WAIT_PERCENT, nowNanos, random)
              : Optional.empty();
      case LATE -> askedInPhase < maxLateServers() ? pickLate(nowNanos, random) : Optional.empty();
      case DONE -> Optional.empty();
    };
  }

  private int maxLateServers() {
    return needed ? MAX_LATE_SERVERS_IF_NEEDED : MAX_LATE_SERVERS;
  }

  // A request that a running one needs is worth the way to another zone, even if it will be late.
  private Optional<Choice> pickLate(long nowNanos, RandomGenerator random) {
    Optional<Choice> choice = pick(sameZone, reached, UNTIL_DEADLINE, nowNanos, random);
    return choice.isEmpty() && needed
        ? pick(otherZones, reached, UNTIL_DEADLINE, nowNanos, random)
        : choice;
  }

  private Optional<Choice> pick(
      List<Server> servers,
      Set<Server> excluded,
      int maxWaitPercent,
      long nowNanos,
      RandomGenerator random) {
    RefusalBackoff.RequestKind kind = new RefusalBackoff.RequestKind(rule, maxWaitPercent);
    List<Server> candidates =
        servers.stream()
            .filter(
                server -> needed || !server.stats().refusalBackoff().isBackingOff(kind, nowNanos))
            .toList();
    List<Server> startableNow =
        candidates.stream().filter(server -> !server.stats().isRateLimited(nowNanos)).toList();
    Optional<Server> server =
        picker
            .pick(startableNow, excluded, nowNanos, random)
            .or(() -> picker.pick(candidates, excluded, nowNanos, random));
    server.ifPresent(excluded::add);
    return server.map(found -> new Choice(found, maxWaitPercent));
  }

  /**
   * Notes that the request has or may have arrived at a server, which is then not asked again.
   *
   * @param server the server
   */
  public void onReached(Server server) {
    reached.add(server);
    asked.add(server);
    excludedFromLongWait.add(server);
  }

  /**
   * Notes what a server said.
   *
   * @param choice the server as it was asked
   * @param reply what it said
   * @param nowNanos the current time
   */
  public void onReply(Choice choice, Reply reply, long nowNanos) {
    RefusalBackoff refusalBackoff = choice.server().stats().refusalBackoff();
    RefusalBackoff.RequestKind kind = new RefusalBackoff.RequestKind(rule, choice.maxWaitPercent());
    switch (reply) {
      case ACCEPTED -> refusalBackoff.onAccepted(kind);
      case WAIT_TOO_LONG -> onRefused(choice.server(), kind, nowNanos);
      case UNAVAILABLE -> {
        excludedFromLongWait.add(choice.server());
        onRefused(choice.server(), kind, nowNanos);
        if (choice.maxWaitPercent() == SHORT_WAIT_PERCENT) {
          onRefused(
              choice.server(), new RefusalBackoff.RequestKind(rule, LONG_WAIT_PERCENT), nowNanos);
        }
      }
    }
  }

  private void onRefused(Server server, RefusalBackoff.RequestKind kind, long nowNanos) {
    if (zoneFirst && !needed) {
      server.stats().refusalBackoff().onRefused(kind, server.zone().equals(ownZone), nowNanos);
    }
  }

  /** {@return whether a further server may be asked} */
  public boolean mayHaveNext() {
    return zoneFirst ? phase != Phase.DONE : sameZone.size() > asked.size();
  }
}
