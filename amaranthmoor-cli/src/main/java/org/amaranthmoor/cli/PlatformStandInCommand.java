package org.amaranthmoor.cli;

import com.github.rvesse.airline.annotations.Option;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.testkit.platform.InMemoryLog;
import org.amaranthmoor.testkit.platform.LogServer;

/** Runs an in-memory stand-in for the platform's log, for tests and demonstrations. */
@com.github.rvesse.airline.annotations.Command(
    name = "stand-in-platform",
    description = "Runs a stand-in for the platform's log, kept in memory")
public final class PlatformStandInCommand implements Command {

  @Option(name = "--port", description = "Port to listen on")
  private int port = 7000;

  @Option(
      name = "--retention-millis",
      description = "Time for which records are kept, in milliseconds")
  private long retentionMillis = 3_600_000;

  @Option(name = "--appends-per-second", description = "Maximum number of appends per second")
  private int appendsPerSecond = 300;

  /** Creates the command. */
  public PlatformStandInCommand() {}

  @Override
  public int run() throws Exception {
    InMemoryLog log = new InMemoryLog(TimeSource.system(), retentionMillis, appendsPerSecond);
    try (LogServer server =
        new LogServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), port), log)) {
      System.out.println("platform stand-in listens on port " + server.port());
      Thread.sleep(Long.MAX_VALUE);
    }
    return ExitCode.OK;
  }
}
