package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import org.amaranthmoor.testkit.caller.CallTemplate;
import org.amaranthmoor.testkit.caller.LoadGenerator;

/** Sends the Collective's mix of calls and verifies the responses. */
@com.github.rvesse.airline.annotations.Command(
    name = "load",
    description =
        "Sends the Collective's mix of calls at a constant rate and verifies every response")
public final class LoadCommand implements Command {

  @Option(name = "--node", description = "Caller address of a node; may be given several times")
  @Required
  private List<String> nodes = new ArrayList<>();

  @Option(name = "--rate", description = "Calls per second")
  private double rate = 100;

  @Option(name = "--calls", description = "Number of calls")
  private int calls = 1_000;

  @Option(name = "--seed", description = "Seed of the random choice of calls")
  private long seed = 1;

  /** Creates the command. */
  public LoadCommand() {}

  @Override
  public int run() throws Exception {
    List<InetSocketAddress> addresses = new ArrayList<>();
    for (String node : nodes) {
      addresses.add(Input.parseEndpoint("--node", node).socketAddress());
    }
    LoadGenerator generator = new LoadGenerator(addresses, CallTemplate.collective(), seed);
    generator.run(rate, calls);
    System.out.print(generator.report());
    return generator.wrongResponses() == 0 ? ExitCode.OK : ExitCode.FAILED;
  }
}
