package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.amaranthmoor.testkit.caller.PairedLatency;

/** Measures what nodes add to a call. */
@com.github.rvesse.airline.annotations.Command(
    name = "measure-path",
    description = "Compares calls straight to a target with calls through one node and two")
public final class MeasurePathCommand implements Command {

  @Option(name = "--target", description = "Address of the target")
  @Required
  private String target;

  @Option(name = "--own-node", description = "Caller address of the target's node")
  @Required
  private String ownNode;

  @Option(name = "--other-node", description = "Caller address of another node")
  @Required
  private String otherNode;

  @Option(name = "--path", description = "Path that the target's service is reached by")
  private String path = "/lending/x";

  @Option(name = "--calls", description = "Calls of each way")
  private int calls = 5_000;

  @Option(name = "--warm-up", description = "Calls of each way before")
  private int warmUp = 5_000;

  @Option(name = "--callers", description = "Callers at once for the throughput; 0 for none")
  private int callers = 0;

  @Option(name = "--seconds", description = "How long the throughput is measured")
  private int seconds = 10;

  /** Creates the command. */
  public MeasurePathCommand() {}

  @Override
  public int run() throws Exception {
    PairedLatency paired = new PairedLatency();
    paired.add("direct", Input.parseEndpoint("--target", target).socketAddress(), path);
    paired.add("one node", Input.parseEndpoint("--own-node", ownNode).socketAddress(), path);
    paired.add("two nodes", Input.parseEndpoint("--other-node", otherNode).socketAddress(), path);
    if (calls > 0) {
      paired.run(warmUp, calls);
      System.out.print(paired.report());
    }
    if (callers > 0) {
      System.out.printf(
          "calls per second through two nodes: %.0f%n", paired.throughput(callers, seconds));
    }
    return ExitCode.OK;
  }
}
