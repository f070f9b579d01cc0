package org.amaranthmoor.balance;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.TeamName;
import org.amaranthmoor.model.ZoneName;

/**
 * Plans at which servers one request is tried, in which order, and how long it may wait at each.
 *
 * <p>The plan covers three load patterns: a server in a slow phase is skipped while other servers
 * are not slow; if an availability zone has more callers than its own servers can serve, the
 * overflow goes to other zones; in a burst beyond the capacity of all servers, a request is tried
 * at only a few of them before it is refused.
 *
 * <p>Under {@link PickPolicy.ZoneFirst} a request is tried at
 *
 * <ol>
 *   <li>servers of the own availability zone, with a short maximum wait,
 *   <li>servers of the own zone that can still be in time, with a long maximum wait,
 *   <li>some servers of other zones,
 *   <li>the own zone again, for a late answer if it has room for that.
 * </ol>
 *
 * <p>Under any other policy it is tried at each server once, with no limit on the wait but the
 * deadline. A server whose rate limit allows no start now is tried after the others.
 *
 * <p>An answer is in time if it arrives before the objective, and late if it arrives between the
 * objective and the deadline. The slack of a request is the time until its objective less the
 * expected time of its work; a maximum wait is a share of the slack. Confined to one thread.
 */
public final class AttemptPlan {

  /** Most servers of the own availability zone that are tried with a short wait. */
  private static final int MAX_SHORT_WAIT_SERVERS = 4;

  /** Most servers of the own availability zone that are tried, or tried again, with a long wait. */
  private static final int MAX_LONG_WAIT_SERVERS = 2;

  /** Most servers of other availability zones that are tried; each costs bytes between zones. */
  private static final int MAX_OTHER_ZONE_SERVERS = 2;

  /** Most servers of the own availability zone that are tried for a late answer. */
  private static final int MAX_LATE_SERVERS = 1;

  /** Most servers, of any zone, that are tried for a late answer to a nested request. */
  private static final int MAX_LATE_SERVERS_IF_NESTED = 2;

  /** Short maximum wait, used while other servers may be free, in percent of the slack. */
  private static final int SHORT_WAIT_PERCENT = 30;

  /** Long maximum wait in the own availability zone, in percent of the slack. */
  private static final int LONG_WAIT_PERCENT = 90;

  /** Maximum wait in another zone, which takes longer to reach, in percent of the slack. */
  private static final int OTHER_ZONE_WAIT_PERCENT = 75;

  /** Maximum wait that is limited by the deadline only. */
  private static final int UNTIL_DEADLINE = 0;

  /**
   * A server to try.
   *
   * @param server the server
   * @param maxWaitPercent the maximum wait there, in percent of the slack; 0 to wait until the
   *     deadline
   */
  public record Choice(Server server, int maxWaitPercent) {}

  /** How a server replied to a request. */
  public enum Reply {
    /** The server has accepted the request, or may have. */
    ACCEPTED,

    /** The server would answer in time, but not within the maximum wait. */
    WAIT_TOO_LONG,

    /** The server cannot answer in time, refused for another reason or was not reached. */
    UNAVAILABLE
  }

  /** Class of a request, by which servers are chosen. */
  public enum RequestClass {
    /** The request can still be in time. */
    IN_TIME,

    /**
     * A running request of a target waits for this one: servers are tried even if they refused
     * before.
     */
    NESTED,

    /** The objective of the request has passed: only the own zone is tried, for a late answer. */
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
  private final Optional<TeamName> team;
  private final boolean nested;
  private final Set<Server> tried = new HashSet<>();
  private final Set<Server> excludedFromLongWait = new HashSet<>();
  private final Set<Server> reached = new HashSet<>();
  private Phase phase;
  private int triedInPhase;

  /**
   * Creates a plan for a request without a team that has tried no server yet.
   *
   * @param servers the servers of the service
   * @param picker picks among the servers that may be tried next
   * @param ownZone the availability zone of the entry side
   * @param rule the rule of the request
   * @param requestClass the class of the request
   */
  public AttemptPlan(
      List<Server> servers,
      Picker picker,
      ZoneName ownZone,
      RuleName rule,
      RequestClass requestClass) {
    this(servers, picker, ownZone, rule, Optional.empty(), requestClass);
  }

  /**
   * Creates a plan that has tried no server yet.
   *
   * @param servers the servers of the service
   * @param picker picks among the servers that may be tried next
   * @param ownZone the availability zone of the entry side
   * @param rule the rule of the request
   * @param team the team of the request, or empty if it belongs to none
   * @param requestClass the class of the request
   */
  public AttemptPlan(
      List<Server> servers,
      Picker picker,
      ZoneName ownZone,
      RuleName rule,
      Optional<TeamName> team,
      RequestClass requestClass) {
    this.team = team;
    this.picker = picker;
    this.ownZone = ownZone;
    this.rule = rule;
    this.nested = requestClass == RequestClass.NESTED;
    this.phase = requestClass == RequestClass.LATE ? Phase.LATE : Phase.SAME_ZONE_SHORT_WAIT;
    this.zoneFirst = picker.policy() instanceof PickPolicy.ZoneFirst;
    this.sameZone =
        zoneFirst ? servers.stream().filter(s -> s.zone().equals(ownZone)).toList() : servers;
    this.otherZones =
        zoneFirst ? servers.stream().filter(s -> !s.zone().equals(ownZone)).toList() : List.of();
  }

  /**
   * Returns the next server to try.
   *
   * @param nowNanos the current time
   * @param random source of randomness
   * @return the server, or empty if no further one is to be tried
   */
  public Optional<Choice> next(long nowNanos, RandomGenerator random) {
    if (!zoneFirst) {
      return pick(sameZone, tried, UNTIL_DEADLINE, nowNanos, random);
    }
    Optional<Choice> choice = Optional.empty();
    while (choice.isEmpty() && phase != Phase.DONE) {
      choice = nextInPhase(nowNanos, random);
      if (choice.isEmpty()) {
        phase = phase.next();
        triedInPhase = 0;
      }
    }
    triedInPhase++;
    return choice;
  }

  private Optional<Choice> nextInPhase(long nowNanos, RandomGenerator random) {
    return switch (phase) {
      case SAME_ZONE_SHORT_WAIT ->
          triedInPhase < MAX_SHORT_WAIT_SERVERS
              ? pick(sameZone, tried, SHORT_WAIT_PERCENT, nowNanos, random)
              : Optional.empty();
      case SAME_ZONE_LONG_WAIT ->
          triedInPhase < MAX_LONG_WAIT_SERVERS && !nested
              ? pick(sameZone, excludedFromLongWait, LONG_WAIT_PERCENT, nowNanos, random)
              : Optional.empty();
      case OTHER_ZONES ->
          triedInPhase < MAX_OTHER_ZONE_SERVERS
              ? pick(otherZones, tried, OTHER_ZONE_WAIT_PERCENT, nowNanos, random)
              : Optional.empty();
      case LATE -> triedInPhase < maxLateServers() ? pickLate(nowNanos, random) : Optional.empty();
      case DONE -> Optional.empty();
    };
  }

  private int maxLateServers() {
    return nested ? MAX_LATE_SERVERS_IF_NESTED : MAX_LATE_SERVERS;
  }

  // A late answer to a nested request is worth the traffic between zones: without it, the running
  // request that waits for it fails too.
  private Optional<Choice> pickLate(long nowNanos, RandomGenerator random) {
    Optional<Choice> choice = pick(sameZone, reached, UNTIL_DEADLINE, nowNanos, random);
    return choice.isEmpty() && nested
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
                server ->
                    nested || !server.stats().refusalBackoff().isBackingOff(kind, team, nowNanos))
            .toList();
    List<Server> startableNow =
        candidates.stream().filter(server -> !server.stats().isRateLimited(nowNanos)).toList();
    Optional<Server> server =
        picker
            .pick(startableNow, excluded, rule, nowNanos, random)
            .or(() -> picker.pick(candidates, excluded, rule, nowNanos, random));
    server.ifPresent(excluded::add);
    return server.map(found -> new Choice(found, maxWaitPercent));
  }

  /**
   * Records that the request has or may have arrived at a server, which is then not tried again.
   *
   * @param server the server
   */
  public void onReached(Server server) {
    reached.add(server);
    tried.add(server);
    excludedFromLongWait.add(server);
  }

  /**
   * Records how a server replied.
   *
   * @param choice the server and the maximum wait of the attempt
   * @param reply its reply
   * @param nowNanos the current time
   */
  public void onReply(Choice choice, Reply reply, long nowNanos) {
    RefusalBackoff refusalBackoff = choice.server().stats().refusalBackoff();
    RefusalBackoff.RequestKind kind = new RefusalBackoff.RequestKind(rule, choice.maxWaitPercent());
    switch (reply) {
      case ACCEPTED -> refusalBackoff.onAccepted(kind, team);
      case WAIT_TOO_LONG -> onRefused(choice.server(), kind, nowNanos);
      case UNAVAILABLE -> {
        excludedFromLongWait.add(choice.server());
        onRefused(choice.server(), kind, nowNanos);
        // It would refuse with a long maximum wait too.
        if (choice.maxWaitPercent() == SHORT_WAIT_PERCENT) {
          onRefused(
              choice.server(), new RefusalBackoff.RequestKind(rule, LONG_WAIT_PERCENT), nowNanos);
        }
      }
    }
  }

  private void onRefused(Server server, RefusalBackoff.RequestKind kind, long nowNanos) {
    if (zoneFirst && !nested) {
      server
          .stats()
          .refusalBackoff()
          .onRefused(kind, team, server.zone().equals(ownZone), nowNanos);
    }
  }

  /** {@return whether {@link #next} may return a further server} */
  public boolean mayHaveNext() {
    return zoneFirst ? phase != Phase.DONE : sameZone.size() > tried.size();
  }
}
