package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import java.util.List;
import java.util.stream.Stream;
import org.amaranthmoor.testkit.capacity.CapacityReport;

/** Measures how the cost of gossip and of the shared state grows with the number of nodes. */
@com.github.rvesse.airline.annotations.Command(
    name = "capacity",
    description = "Measures membership, log fold and checkpoints at several numbers of nodes")
public final class CapacityCommand implements Command {

  @Option(name = "--sizes", description = "Numbers of nodes, separated by commas")
  private String sizes = "100,400,1600,6800";

  /** Creates the command. */
  public CapacityCommand() {}

  @Override
  public int run() throws Exception {
    List<Integer> nodeCounts;
    try {
      nodeCounts = Stream.of(sizes.split(",", -1)).map(Integer::valueOf).toList();
    } catch (NumberFormatException e) {
      throw new Input.InvalidInputException(
          "--sizes: expected whole numbers separated by commas, but found: " + sizes);
    }
    System.out.println(CapacityReport.state(nodeCounts));
    System.out.println(CapacityReport.gossip(nodeCounts));
    return ExitCode.OK;
  }
}
