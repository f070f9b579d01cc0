package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import org.amaranthmoor.testkit.random.RandomRun;

/** Runs the decision classes in a simulation with random faults and checks invariants. */
@com.github.rvesse.airline.annotations.Command(
    name = "random-run",
    description =
        "Runs the decision classes in a simulation with random faults, with new seeds or one given seed")
public final class RandomRunCommand implements Command {

  private static final long SIMULATED_MILLIS = 600_000;

  @Option(
      name = "--seconds",
      description = "Number of seconds after which no further seed is started")
  private long seconds = 60;

  @Option(name = "--seed", description = "Run this seed only")
  private long seed = -1;

  /** Creates the command. */
  public RandomRunCommand() {}

  @Override
  public int run() {
    if (seed >= 0) {
      return runSeed(seed) ? ExitCode.OK : ExitCode.FAILED;
    }
    long endNanos = System.nanoTime() + seconds * 1_000_000_000L;
    long nextSeed = System.currentTimeMillis() * 1_000;
    long runs = 0;
    while (System.nanoTime() < endNanos) {
      if (!runSeed(nextSeed)) {
        return ExitCode.FAILED;
      }
      runs++;
      nextSeed++;
    }
    System.out.println(runs + " runs, no invariant violated");
    return ExitCode.OK;
  }

  private static boolean runSeed(long seed) {
    try {
      System.out.println(RandomRun.run(seed, SIMULATED_MILLIS));
      return true;
    } catch (RuntimeException e) {
      System.out.println("seed " + seed + ": " + e.getMessage());
      System.out.println("reproduce with: amaranthmoor random-run --seed " + seed);
      return false;
    }
  }
}
