package org.amaranthmoor.testkit.deployment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import org.amaranthmoor.daemon.NodeDaemon;
import org.amaranthmoor.daemon.http.ReservedPorts;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.operator.StatusView;
import org.amaranthmoor.daemon.platform.HttpPlatformLog;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.amaranthmoor.daemon.settings.NodeSettings;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.RegionName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.ZoneName;
import org.amaranthmoor.platform.NotePublisher;
import org.amaranthmoor.testkit.caller.HttpCaller;
import org.amaranthmoor.testkit.platform.InMemoryLog;
import org.amaranthmoor.testkit.platform.LogServer;
import org.amaranthmoor.testkit.target.TargetServer;

/**
 * A stand-in for the platform, targets and their nodes, in one process.
 *
 * <p>Used by one thread.
 */
public final class Deployment implements AutoCloseable {

  private static final String HOST = "127.0.0.1";
  private static final long RETENTION_MILLIS = 3_600_000;
  private static final int APPENDS_PER_SECOND = 300;
  private static final long WAIT_MILLIS = 30_000;
  private static final long POLL_MILLIS = 20;
  private static final long CALL_TIMEOUT_MILLIS = 20_000;
  private static final int SLOTS = 6;
  private static final int QUEUE_CAPACITY = 64;
  private static final int MAX_CONNECTIONS = 220;
  private static final long IDLE_TIMEOUT_MILLIS = 2_000;

  private final TimeSource time = TimeSource.system();
  private final InMemoryLog log = new InMemoryLog(time, RETENTION_MILLIS, APPENDS_PER_SECOND);
  private final LogServer logServer;
  private final List<TargetServer> targets = new ArrayList<>();
  private final List<RunningNode> nodes = new ArrayList<>();
  private final ReservedPorts ports = new ReservedPorts();

  /**
   * A node with its settings.
   *
   * @param settings its settings
   * @param daemon the node
   */
  public record RunningNode(NodeSettings settings, NodeDaemon daemon) {
    /** {@return the address at which callers reach the node} */
    public InetSocketAddress callerAddress() {
      return new InetSocketAddress(settings.host(), settings.callerPort());
    }
  }

  /**
   * Starts the log. Targets and nodes are started one by one.
   *
   * @throws IOException if a port cannot be opened
   */
  public Deployment() throws IOException {
    this.logServer = new LogServer(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), log);
  }

  /** {@return the log, for fault injection} */
  public InMemoryLog log() {
    return log;
  }

  /** {@return a new client of the log} */
  public HttpPlatformLog logClient() {
    return new HttpPlatformLog(new Endpoint(HOST, logServer.port()));
  }

  /**
   * Returns a target.
   *
   * @param index its index in the order of starts
   * @return the target
   */
  public TargetServer target(int index) {
    return targets.get(index);
  }

  /**
   * Returns a node.
   *
   * @param index its index in the order of starts
   * @return the node
   */
  public RunningNode node(int index) {
    return nodes.get(index);
  }

  /**
   * Starts a target and its node.
   *
   * @param target the target's name; its node is called NAME-node
   * @param serviceMillis service time of a request, in milliseconds
   * @return the node
   * @throws IOException if a port cannot be opened
   */
  public RunningNode start(String target, long serviceMillis) throws IOException {
    TargetServer server =
        new TargetServer(
            new InetSocketAddress(InetAddress.getLoopbackAddress(), 0),
            target,
            serviceMillis,
            SLOTS);
    targets.add(server);
    return startNode(target, server.port());
  }

  /**
   * Starts a node for a target that already listens.
   *
   * @param target the target's name
   * @param targetPort the target's port
   * @return the node
   * @throws IOException if a port cannot be opened
   */
  public RunningNode startNode(String target, int targetPort) throws IOException {
    List<Endpoint> peers =
        nodes.stream().map(n -> new Endpoint(HOST, n.settings().nodePort())).toList();
    NodeSettings settings =
        new NodeSettings(
            new NodeName(target + "-node"),
            new ZoneName("zone-" + nodes.size() % 3),
            new RegionName("region"),
            HOST,
            ports.reserve(),
            ports.reserve(),
            ports.reserve(),
            new NodeSettings.TargetSettings(
                new TargetName(target),
                new Endpoint(HOST, targetPort),
                SLOTS,
                QUEUE_CAPACITY,
                MAX_CONNECTIONS,
                IDLE_TIMEOUT_MILLIS),
            new Endpoint(HOST, logServer.port()),
            peers,
            WAIT_MILLIS,
            RETENTION_MILLIS);
    EventLog events = new EventLog(System.getLogger("testkit." + target), time);
    RunningNode node = new RunningNode(settings, new NodeDaemon(settings, time, events));
    nodes.add(node);
    node.daemon().start();
    return node;
  }

  /**
   * Publishes a note and waits for its verdict.
   *
   * @param id the note's id
   * @param text the note's text
   * @return the result
   */
  public NotePublisher.Result publish(String id, String text) {
    return new NotePublisher(logClient(), Deployment::pause).publish(new NoteId(id), text);
  }

  /** Waits until the status of every node shows all targets as serving. */
  public void awaitAllServing() {
    await(
        "every node shows all targets as serving",
        () -> nodes.stream().allMatch(node -> showsAllServing(node.daemon().status())));
  }

  private boolean showsAllServing(StatusView status) {
    long serving =
        status.services().stream()
            .flatMap(service -> service.targets().stream())
            .filter(target -> target.state().equals("serving"))
            .count();
    return serving == nodes.size();
  }

  /**
   * Waits until a condition holds.
   *
   * @param goal description of the condition, for the error message
   * @param condition the condition
   * @throws IllegalStateException if the condition does not hold within 30 s
   */
  public static void await(String goal, BooleanSupplier condition) {
    long end = System.nanoTime() + WAIT_MILLIS * 1_000_000L;
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() > end) {
        throw new IllegalStateException("condition not met within " + WAIT_MILLIS + " ms: " + goal);
      }
      pause(POLL_MILLIS);
    }
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting", e);
    }
  }

  /**
   * Creates a caller that sends its calls to a node.
   *
   * @param index the node's index
   * @return the caller, to be closed
   */
  public HttpCaller caller(int index) {
    return new HttpCaller(nodes.get(index).callerAddress(), CALL_TIMEOUT_MILLIS);
  }

  /**
   * Stops a node gracefully.
   *
   * @param index the node's index
   * @return whether all requests in progress ended
   */
  public boolean stopNode(int index) {
    return nodes.get(index).daemon().stop();
  }

  @Override
  public void close() {
    nodes.forEach(node -> node.daemon().halt());
    targets.forEach(TargetServer::close);
    logServer.close();
    try {
      ports.close();
    } catch (IOException e) {
      throw new UncheckedIOException("the ports of the nodes could not be released", e);
    }
  }
}
