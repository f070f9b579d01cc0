package org.amaranthmoor.testkit.mesh;

import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.function.ToDoubleFunction;
import java.util.stream.LongStream;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.RuleName;

/**
 * Runs the simulated mesh under a set of load patterns and reports how well it serves them.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class MeshLab {

  /**
   * Noisy neighbours slow a target by a factor of 5 for a quarter of the time, in phases of 150 ms
   * on average.
   */
  public static final MeshShape.Phases SHORT_SLOW_PHASES = new MeshShape.Phases(0.25, 5, 150);

  /**
   * Noisy neighbours slow a target by a factor of 4 for a quarter of the time, in phases of 400 ms
   * on average.
   */
  public static final MeshShape.Phases LONG_SLOW_PHASES = new MeshShape.Phases(0.25, 4, 400);

  /** No noisy neighbours. */
  public static final MeshShape.Phases NO_SLOW_PHASES = new MeshShape.Phases(0, 1, 150);

  private static final int SMALLEST_SERVICE = 2;

  /**
   * A load pattern.
   *
   * @param name its name
   * @param shape the mesh
   * @param script the events during the run
   * @param seconds how long requests arrive
   */
  public record LoadPattern(String name, MeshShape shape, Script script, double seconds) {}

  /** The events during a run, such as a burst or a loss of power. */
  public interface Script {
    /**
     * Schedules the events.
     *
     * @param model the simulated mesh, before it runs
     */
    void plan(MeshModel model);
  }

  private MeshLab() {}

  /** {@return the load patterns} */
  public static List<LoadPattern> patterns() {
    return List.of(
        new LoadPattern("calm", threeServices(1, SHORT_SLOW_PHASES), model -> {}, 10),
        new LoadPattern("overload", threeServices(1.35, SHORT_SLOW_PHASES), model -> {}, 10),
        burst("burst", 1.25, SHORT_SLOW_PHASES),
        burst("burst, long phases", 1.25, LONG_SLOW_PHASES),
        burst("burst, no phases", 1.6, NO_SLOW_PHASES),
        new LoadPattern(
            "one target left", threeServices(1, SHORT_SLOW_PHASES), MeshLab::keepOneTarget, 12),
        powerLoss(),
        statedRateLimit(),
        new LoadPattern(
            "power lost, one target left",
            threeServices(1, SHORT_SLOW_PHASES),
            model -> {
              keepOneTarget(model);
              model.powerLoss(4, 1.2);
            },
            14));
  }

  /** {@return a load pattern in which all nodes and targets lose power and restart cold} */
  public static LoadPattern powerLoss() {
    return new LoadPattern(
        "power lost", threeServices(1.1, SHORT_SLOW_PHASES), model -> model.powerLoss(4, 1.2), 14);
  }

  /**
   * {@return a load pattern in which the targets of one availability zone state a rate limit far
   * below their capacity}
   */
  public static LoadPattern statedRateLimit() {
    return new LoadPattern(
        "a zone's targets state a rate",
        threeServices(0.8, SHORT_SLOW_PHASES),
        model -> model.limitRate(2, 0, 2.4),
        14);
  }

  private static void keepOneTarget(MeshModel model) {
    model.keepTargets(2, SMALLEST_SERVICE, 1);
  }

  private static LoadPattern burst(String name, double load, MeshShape.Phases phases) {
    return new LoadPattern(
        name, threeServices(load, phases), model -> model.load(4, 1.6).load(7, 1), 12);
  }

  /**
   * Returns a mesh of three services with 5, 4 and 3 targets, of which the first calls the second
   * and the second calls the third, the smallest.
   *
   * @param load offered load as a multiple of the normal arrival rate
   * @param phases the slow phases of targets
   * @return the mesh
   */
  public static MeshShape threeServices(double load, MeshShape.Phases phases) {
    Optional<MeshRequestKind.Call> peekCall =
        Optional.of(new MeshRequestKind.Call(nestedKind("peek", 1), 2, 0.7));
    Optional<MeshRequestKind.Call> verifyCall =
        Optional.of(new MeshRequestKind.Call(nestedKind("verify", 2), 2, 0.7));
    Optional<MeshRequestKind.Call> noCall = Optional.empty();
    return new MeshShape(
        3,
        List.of(5, 4, 3),
        14,
        List.of(
            kind("balance", 0, Priority.BROWSE, 90, 300, 1_200, 1, 189 * load, peekCall),
            kind("claim", 1, Priority.NORMAL, 120, 400, 1_500, 2, 81.5 * load, verifyCall),
            kind("payout", 2, Priority.CRITICAL, 63, 200, 800, 3, 59.3 * load, noCall),
            kind("season", 2, Priority.NORMAL, 36, 120, 600, 2, 48.2 * load, noCall)),
        phases,
        0.7);
  }

  private static MeshRequestKind nestedKind(String name, int service) {
    return kind(name, service, Priority.CRITICAL, 22, 100, 250, 0, 0, Optional.empty());
  }

  private static MeshRequestKind kind(
      String name,
      int service,
      Priority priority,
      double workMillis,
      double objectiveMillis,
      double deadlineMillis,
      double worth,
      double perSecond,
      Optional<MeshRequestKind.Call> call) {
    return new MeshRequestKind(
        new RuleName(name),
        service,
        priority,
        workMillis,
        objectiveMillis,
        deadlineMillis,
        worth,
        perSecond,
        call);
  }

  /**
   * Runs a load pattern.
   *
   * @param pattern the load pattern
   * @param seed seed of arrivals, work and slow phases
   * @return the outcomes of the requests
   */
  public static MeshResult run(LoadPattern pattern, long seed) {
    MeshModel model = new MeshModel(pattern.shape(), seed);
    pattern.script().plan(model);
    return model.run(pattern.seconds());
  }

  /**
   * Runs all load patterns and renders the means over several seeds as a Markdown table.
   *
   * @param seeds number of seeds, counted from 1
   * @return the table
   */
  public static String table(int seeds) {
    StringBuilder text =
        new StringBuilder(
            """
            | load pattern | worth | worst windows | worst kind | served | refused again | asked |
            |---|---|---|---|---|---|---|
            """);
    for (LoadPattern pattern : patterns()) {
      List<MeshResult> results =
          LongStream.rangeClosed(1, seeds).parallel().mapToObj(seed -> run(pattern, seed)).toList();
      text.append(
          String.format(
              Locale.ROOT,
              "| %s | %.3f | %.3f | %.3f | %.3f | %.3f | %.0f |%n",
              pattern.name(),
              mean(results, MeshResult::worth),
              mean(results, MeshResult::worstWindows),
              mean(results, MeshResult::worstKind),
              mean(results, MeshResult::served),
              mean(results, MeshResult::refusedRetries),
              mean(results, MeshResult::attempts)));
    }
    return text.toString();
  }

  private static double mean(List<MeshResult> results, ToDoubleFunction<MeshResult> figure) {
    return results.stream().mapToDouble(figure).average().orElse(0);
  }
}
