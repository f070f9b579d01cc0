package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import com.github.rvesse.airline.annotations.restrictions.Required;
import org.amaranthmoor.daemon.NodeDaemon;
import org.amaranthmoor.daemon.ProcessSupervisor;
import org.amaranthmoor.daemon.Signals;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.settings.NodeSettings;
import org.amaranthmoor.daemon.settings.NodeSettingsReader;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.yaml.ParseResult;

/** Runs a node until SIGTERM or SIGINT. */
@com.github.rvesse.airline.annotations.Command(
    name = "node",
    description =
        "Runs a node; SIGTERM stops it gracefully: it exits when requests in progress have ended or the drain limit has passed")
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
        Input.printProblems(invalid.problems(), settings);
        yield ExitCode.INVALID_INPUT;
      }
      case ParseResult.Valid<NodeSettings> valid -> runNode(valid.value());
    };
  }

  private static int runNode(NodeSettings settings) throws Exception {
    TimeSource time = TimeSource.system();
    EventLog log = new EventLog(System.getLogger("org.amaranthmoor.node"), time);
    NodeDaemon daemon = new NodeDaemon(settings, time, log);
    ProcessSupervisor supervisor =
        new ProcessSupervisor(log, () -> {}, status -> Runtime.getRuntime().halt(status));
    supervisor.setListener(daemon::onError);
    daemon
        .metrics()
        .registerCounter(
            "amaranthmoor.thread.failures",
            "Threads that a failure ended",
            supervisor::threadFailures);
    Thread.setDefaultUncaughtExceptionHandler(supervisor);
    Signals.onStop(() -> stop(daemon));
    daemon.start();
    supervisor.supervise(daemon::failure);
    return ExitCode.OK;
  }

  // The process ends even if the stop fails.
  private static void stop(NodeDaemon daemon) {
    boolean finished = false;
    try {
      finished = daemon.stop();
    } finally {
      Runtime.getRuntime().halt(finished ? ExitCode.OK : ExitCode.FAILED);
    }
  }
}
