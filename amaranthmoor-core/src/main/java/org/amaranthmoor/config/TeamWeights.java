package org.amaranthmoor.config;

import java.util.Optional;
import java.util.function.Supplier;
import java.util.function.ToDoubleFunction;
import org.amaranthmoor.model.TeamName;

/**
 * Weights of the flows that share capacity: each team is one, and all requests without a team are
 * one more.
 *
 * <p>The weight of a team is the rate of its quota, or 1 if it has none or is not in the
 * configuration in force. The flow without a team has {@link #NO_TEAM_SHARE} of the weights of all
 * teams together. Invariant: weights are positive and finite. Safe for use by several threads.
 */
public final class TeamWeights implements ToDoubleFunction<Optional<TeamName>> {

  /**
   * Weight of the requests without a team, as a share of the weights of all teams. Requests of open
   * routes come from any number of callers; with a quarter they get at most a fifth of a full
   * target while all teams use it, and callers without keys cannot crowd out the teams.
   */
  static final double NO_TEAM_SHARE = 0.25;

  /** Weight of a team without a quota. */
  private static final double DEFAULT_WEIGHT = 1;

  /** Lower limit of a weight, so that a team with a very low quota is served at all. */
  private static final double MIN_WEIGHT = 1e-6;

  private record NoTeamWeight(Teams teams, double weight) {}

  private final Supplier<Teams> teams;
  private volatile NoTeamWeight noTeam = new NoTeamWeight(Teams.NONE, DEFAULT_WEIGHT);

  /**
   * Creates weights that follow the configuration.
   *
   * @param teams provides the teams of the configuration in force
   */
  public TeamWeights(Supplier<Teams> teams) {
    this.teams = teams;
  }

  /**
   * Returns the weight of a flow.
   *
   * @param team the team, or empty for requests without one
   * @return its weight
   */
  @Override
  public double applyAsDouble(Optional<TeamName> team) {
    Teams current = teams.get();
    return team.isPresent()
        ? current.find(team.get()).map(TeamWeights::weight).orElse(DEFAULT_WEIGHT)
        : noTeamWeight(current);
  }

  private static double weight(TeamSpec team) {
    return team.quota().isLimited()
        ? Math.max(MIN_WEIGHT, team.quota().requestsPerSecond())
        : DEFAULT_WEIGHT;
  }

  // The sum over all teams is kept until the configuration changes.
  private double noTeamWeight(Teams current) {
    NoTeamWeight known = noTeam;
    if (known.teams() != current) {
      double sum = current.all().stream().mapToDouble(TeamWeights::weight).sum();
      known =
          new NoTeamWeight(current, current.areConfigured() ? NO_TEAM_SHARE * sum : DEFAULT_WEIGHT);
      noTeam = known;
    }
    return known.weight();
  }
}
