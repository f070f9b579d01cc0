package org.amaranthmoor.report;

import java.util.List;
import java.util.Locale;
import org.amaranthmoor.config.ServiceSpec;

/**
 * Burn rates of the error budgets of services.
 *
 * <p>A burn rate of 1 consumes the error budget in exactly the period of the objective; a burn rate
 * of 14 consumes a month's budget in two days. Immutable and safe for use by several threads.
 *
 * @param services one entry for each service
 */
public record BurnReport(List<ServiceBurn> services) {

  /** Lengths of the reported windows, in minutes. */
  public static final List<Integer> WINDOW_MINUTES = List.of(5, 30, 60, 360);

  /** Copies the services. */
  public BurnReport {
    services = List.copyOf(services);
  }

  /**
   * Burn rates of one service.
   *
   * @param service the service
   * @param availabilityObjective share of calls that must get a good answer, between 0 and 1
   * @param latencyObjectiveMillis latency that {@code latencyShare} of calls must meet, in
   *     milliseconds
   * @param latencyShare share of calls that must meet the latency objective, between 0 and 1
   * @param windows one entry for each window
   */
  public record ServiceBurn(
      String service,
      double availabilityObjective,
      int latencyObjectiveMillis,
      double latencyShare,
      List<WindowBurn> windows) {
    /** Copies the windows. */
    public ServiceBurn {
      windows = List.copyOf(windows);
    }
  }

  /**
   * Calls and burn rates over one window.
   *
   * @param minutes length of the window in minutes
   * @param total number of calls
   * @param failed number of calls without a good answer
   * @param slow number of calls answered later than the latency objective
   * @param availabilityBurn burn rate of the availability objective
   * @param latencyBurn burn rate of the latency objective
   */
  public record WindowBurn(
      int minutes,
      long total,
      long failed,
      long slow,
      double availabilityBurn,
      double latencyBurn) {}

  /**
   * Computes the burn rates of one service.
   *
   * @param spec the service
   * @param windows the counts of calls, one entry for each window
   * @return the burn rates
   */
  public static ServiceBurn of(ServiceSpec spec, List<CallCounts.Window> windows) {
    List<WindowBurn> burns =
        windows.stream()
            .map(
                window ->
                    new WindowBurn(
                        window.minutes(),
                        window.total(),
                        window.failed(),
                        window.slow(),
                        burnRate(window.failed(), window.total(), spec.availabilityObjective()),
                        burnRate(window.slow(), window.total(), spec.latencyShare())))
            .toList();
    return new ServiceBurn(
        spec.name().value(),
        spec.availabilityObjective(),
        spec.latencyObjectiveMillis(),
        spec.latencyShare(),
        burns);
  }

  private static double burnRate(long bad, long total, double objective) {
    if (total == 0) {
      return 0;
    }
    return ((double) bad / total) / (1 - objective);
  }

  /**
   * Renders the report as a table.
   *
   * @return the text
   */
  public String render() {
    StringBuilder text = new StringBuilder();
    for (ServiceBurn service : services) {
      text.append(
          String.format(
              Locale.ROOT,
              "service %s: availability objective %.4f%%, latency objective %d ms for %.2f%%%n",
              service.service(),
              service.availabilityObjective() * 100,
              service.latencyObjectiveMillis(),
              service.latencyShare() * 100));
      text.append("  window      calls   failed     slow  availability-burn  latency-burn\n");
      for (WindowBurn window : service.windows()) {
        text.append(
            String.format(
                Locale.ROOT,
                "  %4d min %8d %8d %8d %18.2f %13.2f%n",
                window.minutes(),
                window.total(),
                window.failed(),
                window.slow(),
                window.availabilityBurn(),
                window.latencyBurn()));
      }
    }
    return text.toString();
  }
}
