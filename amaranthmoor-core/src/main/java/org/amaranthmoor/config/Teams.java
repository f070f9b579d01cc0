package org.amaranthmoor.config;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.amaranthmoor.model.KeyDigest;
import org.amaranthmoor.model.TeamName;

/**
 * The teams of a configuration.
 *
 * <p>Invariants: names are unique, and no key belongs to two teams. Immutable and safe for use by
 * several threads.
 */
public final class Teams {

  /** A configuration without teams, whose callers need no keys. */
  public static final Teams NONE = new Teams(java.util.List.of());

  private final Map<TeamName, TeamSpec> byName = new HashMap<>();
  private final Map<KeyDigest, TeamSpec> byKey = new HashMap<>();

  /**
   * Creates an index of teams.
   *
   * @param teams the teams
   * @throws IllegalArgumentException if two teams have the same name or share a key
   */
  public Teams(Collection<TeamSpec> teams) {
    for (TeamSpec team : teams) {
      if (byName.put(team.name(), team) != null) {
        throw new IllegalArgumentException("two teams have the name " + team.name());
      }
      for (KeyDigest key : team.keys()) {
        TeamSpec other = byKey.put(key, team);
        if (other != null) {
          throw new IllegalArgumentException(
              "the teams " + other.name() + " and " + team.name() + " share a key");
        }
      }
    }
  }

  /** {@return whether there is any team, so that callers need keys} */
  public boolean areConfigured() {
    return !byName.isEmpty();
  }

  /** {@return all teams} */
  public Collection<TeamSpec> all() {
    return java.util.Collections.unmodifiableCollection(byName.values());
  }

  /**
   * Finds a team by its name.
   *
   * @param name the name
   * @return the team, or empty if there is none of that name
   */
  public Optional<TeamSpec> find(TeamName name) {
    return Optional.ofNullable(byName.get(name));
  }

  /**
   * Finds the team that holds a key.
   *
   * @param key the digest of the key
   * @return the team, or empty if no team holds the key
   */
  public Optional<TeamSpec> holderOf(KeyDigest key) {
    return Optional.ofNullable(byKey.get(key));
  }
}
