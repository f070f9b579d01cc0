package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;

/** Shows the status of release notes, services and nodes. */
@com.github.rvesse.airline.annotations.Command(
    name = "status",
    description =
        "Shows verdicts of release notes and where these are in force, services, targets and nodes")
public final class StatusCommand implements Command {

  @Option(name = "--node", description = "Admin address of any node")
  @Required
  private String node;

  @Option(name = "--json", description = "Print JSON")
  private boolean json;

  /** Creates the command. */
  public StatusCommand() {}

  @Override
  public int run() throws Exception {
    StatusClient client = new StatusClient(Input.parseEndpoint("--node", node));
    System.out.println(json ? StatusClient.toJson(client.readView()) : client.readView().render());
    return ExitCode.OK;
  }
}
