package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import org.amaranthmoor.testkit.mesh.MeshLab;

/** Runs the model of a mesh under load patterns. */
@com.github.rvesse.airline.annotations.Command(
    name = "mesh-lab",
    description = "Runs a model of a mesh under load patterns and prints the outcomes for callers")
public final class MeshLabCommand implements Command {

  @Option(
      name = "--seeds",
      description = "Number of runs of each load pattern, each with its own seed (8)")
  private int seeds = 8;

  /** Creates the command. */
  public MeshLabCommand() {}

  @Override
  public int run() throws Exception {
    if (seeds < 1) {
      throw new Input.InvalidInputException("--seeds must be at least 1, but was: " + seeds);
    }
    System.out.print(MeshLab.table(seeds));
    return ExitCode.OK;
  }
}
