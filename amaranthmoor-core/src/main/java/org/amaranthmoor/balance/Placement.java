package org.amaranthmoor.balance;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.random.RandomGenerator;
import org.amaranthmoor.model.ZoneName;

/**
 * The order in which one request asks servers to take it.
 *
 * <p>Answers two load patterns: a zone with more callers than its own servers can serve, where the
 * overflow goes to other zones instead of waiting; and a burst beyond all servers, where a request
 * asks only a few before it is refused. Servers of the own availability zone come first and take a
 * request if they expect to answer well in time; then some of other zones; at last the own zone is
 * asked once more, with all the time there is. Confined to one thread.
 */
public final class Placement {

  /** Servers of the own availability zone that are asked at first. */
  private static final int NEAR_SERVERS = 4;

  /** Servers of other availability zones that are asked; each costs bytes between zones. */
  private static final int FAR_SERVERS = 3;

  /** Share of the time until the objective that the own zone may expect to take, in percent. */
  private static final int NEAR_PATIENCE_PERCENT = 85;

  /** Share of the time until the objective that other zones may expect to take, in percent. */
  private static final int FAR_PATIENCE_PERCENT = 90;

  /** All the time until the objective. */
  private static final int FULL_PATIENCE_PERCENT = 100;

  /** All the time until the deadline. */
  private static final int NO_LIMIT = 0;

  /**
   * A server to ask.
   *
   * @param server the server
   * @param patiencePercent share of the time until the objective within which it must expect to
   *     answer, in percent; 0 for all time until the deadline
   */
  public record Choice(Server server, int patiencePercent) {}

  private enum Phase {
    NEAR,
    FAR,
    LAST,
    OVER;

    Phase next() {
      return switch (this) {
        case NEAR -> FAR;
        case FAR -> LAST;
        case LAST, OVER -> OVER;
      };
    }
  }

  private final Picker picker;
  private final List<Server> near;
  private final List<Server> far;
  private final boolean byZone;
  private final Set<Server> asked = new HashSet<>();
  private final Set<Server> reached = new HashSet<>();
  private Phase phase = Phase.NEAR;
  private int askedInPhase;

  /**
   * Creates a placement that has asked nobody.
   *
   * @param servers the servers of the service
   * @param picker ranks servers
   * @param ownZone the availability zone of the entry side
   */
  public Placement(List<Server> servers, Picker picker, ZoneName ownZone) {
    this.picker = picker;
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
      case NEAR ->
          askedInPhase < NEAR_SERVERS
              ? pick(near, asked, NEAR_PATIENCE_PERCENT, nowNanos, random)
              : Optional.empty();
      case FAR ->
          askedInPhase < FAR_SERVERS
              ? pick(far, asked, FAR_PATIENCE_PERCENT, nowNanos, random)
              : Optional.empty();
      case LAST ->
          askedInPhase < 1
              ? pick(near, reached, FULL_PATIENCE_PERCENT, nowNanos, random)
              : Optional.empty();
      case OVER -> Optional.empty();
    };
  }

  private Optional<Choice> pick(
      List<Server> servers,
      Set<Server> excluded,
      int patience,
      long nowNanos,
      RandomGenerator random) {
    Optional<Server> server = picker.pick(servers, excluded, nowNanos, random);
    server.ifPresent(asked::add);
    return server.map(found -> new Choice(found, patience));
  }

  /**
   * Notes that the request has or may have arrived at a server, which is then not asked again.
   *
   * @param server the server
   */
  public void onReached(Server server) {
    reached.add(server);
  }

  /** {@return whether a further server may be asked} */
  public boolean mayGoOn() {
    return byZone ? phase != Phase.OVER : near.size() > asked.size();
  }
}
