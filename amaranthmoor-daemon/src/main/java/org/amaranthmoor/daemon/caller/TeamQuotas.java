package org.amaranthmoor.daemon.caller;

import java.util.Optional;
import org.amaranthmoor.config.TeamSpec;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.model.Outcome;

/**
 * Limits the requests of teams over all nodes.
 *
 * <p>Implementations are safe for use by several threads; {@link #tryAcquire} may block the calling
 * thread for a short time.
 */
public interface TeamQuotas {

  /** Limits no team. */
  TeamQuotas UNLIMITED =
      new TeamQuotas() {
        @Override
        public Optional<Outcome.NotRun<CallResponse>> tryAcquire(
            TeamSpec team, long deadlineNanos) {
          return Optional.empty();
        }

        @Override
        public void release(TeamSpec team) {}
      };

  /**
   * Takes one token of a team's quota for a request.
   *
   * @param team the team
   * @param deadlineNanos the deadline of the request, in monotonic nanoseconds
   * @return empty if the request may be sent to targets, however many; otherwise its refusal, and
   *     no token was taken
   */
  Optional<Outcome.NotRun<CallResponse>> tryAcquire(TeamSpec team, long deadlineNanos);

  /**
   * Gives back the token of a request that was not run.
   *
   * @param team the team
   */
  void release(TeamSpec team);
}
