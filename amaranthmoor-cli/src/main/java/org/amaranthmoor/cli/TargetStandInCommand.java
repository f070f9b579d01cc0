package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.amaranthmoor.testkit.target.TargetServer;

/** Runs a stand-in for a target, for tests and demonstrations. */
@com.github.rvesse.airline.annotations.Command(
    name = "stand-in-target",
    description =
        "Runs a stand-in for a target that serves a limited number of concurrent requests")
public final class TargetStandInCommand implements Command {

  @Option(name = "--port", description = "Port to listen on")
  private int port = 9000;

  @Option(name = "--name", description = "Name of the target")
  private String name = "target";

  @Option(name = "--service-millis", description = "Time that a request takes, in milliseconds")
  private long serviceMillis = 5;

  @Option(
      name = "--slots",
      description = "Maximum number of concurrent requests; further ones are shed")
  private int slots = 6;

  /** Creates the command. */
  public TargetStandInCommand() {}

  @Override
  public int run() throws Exception {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    try (TargetServer server = new TargetServer(address, name, serviceMillis, slots)) {
      System.out.println("target stand-in " + name + " listens on port " + server.port());
      Thread.sleep(Long.MAX_VALUE);
    }
    return ExitCode.OK;
  }
}
