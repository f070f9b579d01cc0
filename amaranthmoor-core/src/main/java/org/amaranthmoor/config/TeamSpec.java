package org.amaranthmoor.config;

import java.util.Optional;
import java.util.Set;
import org.amaranthmoor.model.KeyDigest;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.TeamName;

/**
 * Configuration of a team.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the team
 * @param keys digests of the keys that its callers may use
 * @param priority priority of its requests, which takes precedence over the route's; empty if the
 *     route's priority applies
 * @param quota limit of its requests over all nodes
 */
public record TeamSpec(
    TeamName name, Set<KeyDigest> keys, Optional<Priority> priority, TeamQuota quota) {

  /** Copies the keys. */
  public TeamSpec {
    keys = Set.copyOf(keys);
  }
}
