package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.amaranthmoor.daemon.NodeDaemon;
import org.amaranthmoor.daemon.Signals;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.settings.NodeSettings;
import org.amaranthmoor.daemon.settings.NodeSettingsReader;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.yaml.ParseResult;

/** Runs a node until it is told to stop. */
@com.github.rvesse.airline.annotations.Command(
    name = "node",
    description =
        "Runs a node; SIGTERM is a planned stop, it ends when requests in progress have ended or the drain limit is over")
public final class NodeCommand implements Command {

  @Option(name = "--settings", description = "File with the node's settings")
  @Required
  private String settings;

  /** Creates the command. */
  public NodeCommand() {}

  @Override
  public int run() throws Exception {
    return switch (NodeSettingsReader.read(Input.readFile(settings))) {
      case ParseResult.Invalid<NodeSettings> invalid -> {
        Input.print(invalid.problems(), settings);
        yield ExitCode.INVALID_INPUT;
      }
      case ParseResult.Valid<NodeSettings> valid -> runNode(valid.value());
    };
  }

  private static int runNode(NodeSettings settings) throws Exception {
    TimeSource time = TimeSource.system();
    EventLog log = new EventLog(System.getLogger("org.amaranthmoor.node"), time);
    NodeDaemon daemon = new NodeDaemon(settings, time, log);
    Signals.onStop(() -> stop(daemon));
    daemon.start();
    Thread.sleep(Long.MAX_VALUE);
    return ExitCode.OK;
  }

  private static void stop(NodeDaemon daemon) {
    boolean finished = daemon.stop();
    Runtime.getRuntime().halt(finished ? ExitCode.OK : ExitCode.FAILED);
  }
}
