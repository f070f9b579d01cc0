package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.amaranthmoor.testkit.caller.LatencyComparison;

/** Measures the latency that nodes add to a call, and the throughput through two nodes. */
@com.github.rvesse.airline.annotations.Command(
    name = "measure-path",
    description =
        "Compares direct calls to a target with calls through one node and through two nodes")
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

  @Option(name = "--path", description = "Request path that is routed to the target's service")
  private String path = "/lending/x";

  @Option(name = "--calls", description = "Measured calls of each kind")
  private int calls = 5_000;

  @Option(
      name = "--warm-up",
      description = "Unmeasured calls of each kind before the measured ones")
  private int warmUp = 5_000;

  @Option(
      name = "--callers",
      description = "Concurrent callers of the throughput measurement; 0 skips it")
  private int callers = 0;

  @Option(name = "--seconds", description = "Duration of the throughput measurement, in seconds")
  private int seconds = 10;

  /** Creates the command. */
  public MeasurePathCommand() {}

  @Override
  public int run() throws Exception {
    LatencyComparison comparison = new LatencyComparison();
    comparison.add("direct", Input.parseEndpoint("--target", target).socketAddress(), path);
    comparison.add("one node", Input.parseEndpoint("--own-node", ownNode).socketAddress(), path);
    comparison.add(
        "two nodes", Input.parseEndpoint("--other-node", otherNode).socketAddress(), path);
    if (calls > 0) {
      comparison.run(warmUp, calls);
      System.out.print(comparison.report());
    }
    if (callers > 0) {
      System.out.printf(
          "calls per second through two nodes: %.0f%n", comparison.throughput(callers, seconds));
    }
    return ExitCode.OK;
  }
}
