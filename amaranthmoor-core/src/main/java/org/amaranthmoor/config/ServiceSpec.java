package org.amaranthmoor.config;

import java.util.Locale;
import java.util.Optional;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.ServiceName;

/**
 * A service as accepted release notes define it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the service
 * @param revision the note that last changed it
 * @param availabilityObjective share of calls that must get a good answer, between 0 and 1
 * @param latencyObjectiveMillis latency that {@code latencyShare} of calls must meet, in
 *     milliseconds
 * @param latencyShare share of calls that must meet the latency objective, between 0 and 1
 * @param defaultDeadlineMillis deadline of calls that set none, in milliseconds
 * @param weighting whether low probe cost or low tail latency is preferred
 * @param probesPerSecond maximum rate at which a node sends load probes for the service, per second
 * @param retryShare maximum number of retries, as a share of first attempts
 */
public record ServiceSpec(
    ServiceName name,
    NoteId revision,
    double availabilityObjective,
    int latencyObjectiveMillis,
    double latencyShare,
    int defaultDeadlineMillis,
    Weighting weighting,
    double probesPerSecond,
    double retryShare) {

  /** Whether a service prefers low probe cost or low tail latency. */
  public enum Weighting {
    /** Low probe cost: probes are rare, and most load reports come with answers. */
    COST,
    /** Low tail latency: probes are frequent, within their maximum rate. */
    TAIL;

    /**
     * Returns the weighting with the name that release notes use.
     *
     * @param text the lower-case name
     * @return the weighting, or empty if none has that name
     */
    public static Optional<Weighting> parse(String text) {
      for (Weighting weighting : values()) {
        if (weighting.text().equals(text)) {
          return Optional.of(weighting);
        }
      }
      return Optional.empty();
    }

    /** {@return the name that release notes use} */
    public String text() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
