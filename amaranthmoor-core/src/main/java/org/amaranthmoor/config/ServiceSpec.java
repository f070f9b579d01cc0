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
 * @param availabilityObjective share of calls to be answered, between 0 and 1
 * @param latencyObjectiveMillis latency that {@code latencyShare} of calls must meet, in
 *     milliseconds
 * @param latencyShare share of calls to meet the latency objective, between 0 and 1
 * @param defaultDeadlineMillis deadline of calls that state none, in milliseconds
 * @param weighting which measure weighs most
 * @param probesPerSecond most load probes a node sends for the service, per second
 * @param retryShare most retries, as a share of first attempts
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

  /** Which measure weighs most for a service. */
  public enum Weighting {
    /** The cost of measuring: probes are rare, reports that ride on answers do most. */
    COST,
    /** Tail latency: probes are frequent within the budget. */
    TAIL;

    /**
     * Finds a weighting by the name release notes use.
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
