package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import org.amaranthmoor.testkit.random.RandomRun;

/** Runs the decision classes under random faults. */
@com.github.rvesse.airline.annotations.Command(
    name = "random-run",
    description =
        "Runs the decision classes under random faults with fresh seeds, or one seed again")
public final class RandomRunCommand implements Command {

  private static final long SIMULATED_MILLIS = 600_000;

  @Option(name = "--seconds", description = "How long to go on with fresh seeds")
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
    System.out.println(runs + " runs, no invariant broken");
    return ExitCode.OK;
  }

  private static boolean runSeed(long seed) {
    try {
      System.out.println(RandomRun.run(seed, SIMULATED_MILLIS));
      return true;
    } catch (RuntimeException e) {
      System.out.println("seed " + seed + ": " + e.getMessage());
      System.out.println("run again with: amaranthmoor random-run --seed " + seed);
      return false;
    }
  }
}
