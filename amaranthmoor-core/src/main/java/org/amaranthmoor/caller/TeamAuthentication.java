package org.amaranthmoor.caller;

import java.util.Optional;
import org.amaranthmoor.config.TeamSpec;
import org.amaranthmoor.config.Teams;
import org.amaranthmoor.model.KeyDigest;

/**
 * Decides whether a request may run and to which team it belongs.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class TeamAuthentication {

  private TeamAuthentication() {}

  /** The decision on a request. */
  public sealed interface Decision {
    /**
     * The request may run.
     *
     * @param team the team that holds the key; empty if the request belongs to no team
     */
    record Accepted(Optional<TeamSpec> team) implements Decision {}

    /**
     * The request must not run.
     *
     * @param reason why; contains no part of a key
     */
    record Rejected(String reason) implements Decision {}
  }

  /** What is known about the origin of a request that has no key. */
  public enum Origin {
    /** A caller, who needs a key. */
    CALLER,

    /** The target beside this node, which needs no key for the calls that it makes. */
    TARGET
  }

  /**
   * Decides on a request.
   *
   * <p>A key that no team holds is rejected whatever the origin, except on an open route: the
   * target beside the node sends none, and a key that was removed must not stay usable.
   *
   * @param teams the teams of the current configuration
   * @param openRoute whether callers of the route need no key
   * @param key digest of the key that the request states, or empty if it states none
   * @param origin the origin of the request
   * @return the decision
   */
  public static Decision decide(
      Teams teams, boolean openRoute, Optional<KeyDigest> key, Origin origin) {
    if (!teams.areConfigured()) {
      return new Decision.Accepted(Optional.empty());
    }
    Optional<TeamSpec> team = key.flatMap(teams::holderOf);
    boolean accepted = openRoute || team.isPresent() || (key.isEmpty() && origin == Origin.TARGET);
    if (accepted) {
      return new Decision.Accepted(team);
    }
    return new Decision.Rejected(
        key.isEmpty() ? "the request needs the key of a team" : "no team holds the key");
  }
}
