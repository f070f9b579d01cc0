package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import org.amaranthmoor.testkit.mesh.MeshLab;

/** Runs the model of a mesh under the load patterns that policies answer. */
@com.github.rvesse.airline.annotations.Command(
    name = "mesh-lab",
    description = "Runs a model of a mesh under load patterns and prints what callers got")
public final class MeshLabCommand implements Command {

  @Option(name = "--seeds", description = "Runs of each load pattern (8)")
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
