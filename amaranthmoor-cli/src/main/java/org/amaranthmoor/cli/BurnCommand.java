package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Shows the rate at which services consume the error budgets of their objectives. */
@com.github.rvesse.airline.annotations.Command(
    name = "burn",
    description = "Shows the burn rates of service-level objectives over several windows")
public final class BurnCommand implements Command {

  @Option(name = "--node", description = "Admin address of any node")
  @Required
  private String node;

  @Option(name = "--json", description = "Print JSON")
  private boolean json;

  /** Creates the command. */
  public BurnCommand() {}

  @Override
  public int run() throws Exception {
    StatusClient client = new StatusClient(Input.parseEndpoint("--node", node));
    System.out.print(
        json
            ? StatusClient.toJson(client.readView().burn()) + "\n"
            : client.readView().burn().render());
    return ExitCode.OK;
  }
}
