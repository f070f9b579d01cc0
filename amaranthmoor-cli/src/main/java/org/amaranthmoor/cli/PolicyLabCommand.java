package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import java.nio.file.Files;
import java.nio.file.Path;
import org.amaranthmoor.testkit.lab.PolicyLab;

/** Compares routing policies under load and disturbances in a simulation. */
@com.github.rvesse.airline.annotations.Command(
    name = "policy-lab",
    description = "Compares routing policies on the same arrivals and disturbances")
public final class PolicyLabCommand implements Command {

  @Option(name = "--seed", description = "Seed of arrivals and of random choices")
  private long seed = 1;

  @Option(name = "--out", description = "Folder that the table and the plot are written to")
  private String out = "";

  /** Creates the command. */
  public PolicyLabCommand() {}

  @Override
  public int run() throws Exception {
    PolicyLab lab = new PolicyLab(seed);
    lab.run();
    System.out.print(lab.summary());
    if (!out.isEmpty()) {
      Path folder = Files.createDirectories(Path.of(out));
      Files.writeString(folder.resolve("policy-lab.md"), "# Policy lab\n\n" + lab.table());
      lab.plot(folder.resolve("policy-lab"));
    }
    return ExitCode.OK;
  }
}
