package org.amaranthmoor.daemon.http;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.net.SocketTimeoutException;
import java.time.Duration;
import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.ToIntFunction;
import org.amaranthmoor.connection.ClientLimits;
import org.amaranthmoor.connection.ConnectionAdmission;
import org.amaranthmoor.connection.UnfinishedRequest;
import org.amaranthmoor.connection.UnfinishedRequests;
import org.amaranthmoor.daemon.http.RefusedRequestException.Reason;
import org.amaranthmoor.daemon.log.ErrorListener;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.amaranthmoor.model.ByteBudget;
import org.amaranthmoor.model.TimeSource;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.io.DefaultBHttpServerConnection;
import org.apache.hc.core5.http.impl.io.HttpService;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.http.support.ExpectSupport;
import org.apache.hc.core5.http.support.Expectation;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.util.Timeout;

/**
 * Serves HTTP/1.1 with one virtual thread per connection.
 *
 * <p>A failure of any kind, also an {@link Error}, ends the connection on which it occurred and no
 * other; the connection is reset, so that no client accepts a truncated response as complete. The
 * listener accepts connections until it is closed, up to the limits of {@link ConnectionAdmission}.
 * Safe for use by several threads.
 */
public final class HttpListener implements AutoCloseable {

  /** Attribute of a request's context that contains its connection. */
  public static final String CONNECTION_ATTRIBUTE = "amaranthmoor.connection";

  private static final int ACCEPT_BACKLOG = 512;

  /** Part of the heap for the bodies of requests if no account is given, as a divisor. */
  private static final int STANDARD_HEAP_DIVISOR = 5;

  private static final int CONTINUE_STATUS = 100;
  private static final long ACCEPT_PAUSE_MILLIS = 10;
  private static final long NANOS_PER_MILLI = 1_000_000L;

  /** Part of the capacity up to which a port that was full counts as available again. */
  private static final double NEARLY_FULL_SHARE = 0.75;

  /** Interval at which connections are looked for whose clients don't read, in milliseconds. */
  private static final int CHECK_INTERVAL_MILLIS = 500;

  // The number and the length of lines are limited together by RequestReader.
  private static final Http1Config CONFIG =
      Http1Config.custom()
          .setBufferSize(StreamedEntity.CONNECTION_BUFFER_BYTES)
          .setMaxHeaderCount(-1)
          .setMaxLineLength(-1)
          .build();

  /**
   * Maximum time to wait until the port is closed: less than a planned stop reserves for closing.
   */
  private static final long CLOSE_TIMEOUT_MILLIS = 400;

  private final ServerSocket serverSocket;
  private final Thread acceptor;
  private final HttpService service;
  private final ListenerSettings settings;
  private final EventLog log;
  private final ConnectionFactory connectionFactory;
  private final Executor executor;
  private final ConnectionTable<AcceptedConnection> connections;
  private final AtomicLong acceptFailures = new AtomicLong();
  private final AtomicLong connectionFailures = new AtomicLong();
  private final AtomicLong replacedCount = new AtomicLong();
  private final AtomicLong refusedCount = new AtomicLong();
  private final AtomicLong droppedCount = new AtomicLong();
  private final AtomicBoolean full = new AtomicBoolean();
  private final Map<Reason, AtomicLong> refusedRequests = new EnumMap<>(Reason.class);
  private final AtomicLong unreadResponses = new AtomicLong();
  private long lastCheckNanos;
  private volatile boolean closed;

  /** Creates connections, whose buffers may not fit into the heap. */
  @FunctionalInterface
  interface ConnectionFactory {

    /** Creates a connection that is not bound to a socket. */
    ServerConnection create(Http1Config config);
  }

  /**
   * Opens the port and starts to accept connections, as a port for callers that has the standard
   * refusal.
   *
   * @param address the address to listen on
   * @param handler handles requests, each on its connection's thread
   * @throws IOException if the port cannot be opened
   */
  public HttpListener(InetSocketAddress address, HttpServerRequestHandler handler)
      throws IOException {
    this(open(address), handler, standardSettings());
  }

  private static ListenerSettings standardSettings() {
    TimeSource time = TimeSource.system();
    EventLog log = new EventLog(System.getLogger(HttpListener.class.getName()), time);
    ByteBudget budget = new ByteBudget(Runtime.getRuntime().maxMemory() / STANDARD_HEAP_DIVISOR);
    return ListenerSettings.forCallers(
        ListenerSettings::unavailable,
        ErrorListener.NONE,
        time,
        log,
        () -> ClientLimits.DEFAULT,
        new UnfinishedRequests(budget));
  }

  /**
   * Starts to accept connections on a port that is open already.
   *
   * @param serverSocket the port, as {@link #open} returns it
   * @param handler handles requests, each on its connection's thread
   * @param settings limits of the port and what it depends on
   */
  public HttpListener(
      ServerSocket serverSocket, HttpServerRequestHandler handler, ListenerSettings settings) {
    this(
        serverSocket,
        handler,
        settings,
        ServerConnection::new,
        Executors.newVirtualThreadPerTaskExecutor());
  }

  /** Starts to accept connections, which the factory creates and the executor's threads serve. */
  HttpListener(
      ServerSocket serverSocket,
      HttpServerRequestHandler handler,
      ListenerSettings settings,
      ConnectionFactory connectionFactory,
      Executor executor) {
    this.settings = settings;
    this.log = settings.log();
    this.lastCheckNanos = settings.time().nanos();
    for (Reason reason : Reason.values()) {
      refusedRequests.put(reason, new AtomicLong());
    }
    this.connections = new ConnectionTable<>(settings.admission());
    this.connectionFactory = connectionFactory;
    this.executor = executor;
    this.service =
        new HttpService(HttpProcessors.server("amaranthmoor"), sendContinueIfExpected(handler));
    this.serverSocket = serverSocket;
    this.acceptor =
        Thread.ofPlatform()
            .name("http-accept-" + serverSocket.getLocalPort())
            .daemon()
            .start(this::acceptConnections);
  }

  /**
   * Opens a port. Until a listener accepts them, connections wait.
   *
   * @param address the address to listen on
   * @return the port
   * @throws IOException if the port cannot be opened
   */
  public static ServerSocket open(InetSocketAddress address) throws IOException {
    ServerSocket serverSocket = new ServerSocket();
    serverSocket.setReuseAddress(true);
    serverSocket.bind(address, ACCEPT_BACKLOG);
    return serverSocket;
  }

  // Sends "100 Continue" to a client that waits for it before it sends the body. The interim
  // response is flushed explicitly, because the library would send it with the final one otherwise.
  private static HttpServerRequestHandler sendContinueIfExpected(HttpServerRequestHandler handler) {
    return (request, trigger, context) -> {
      boolean expectsContinue =
          ExpectSupport.parse(request, request.getEntity()) == Expectation.CONTINUE;
      if (expectsContinue
          && context.getAttribute(CONNECTION_ATTRIBUTE)
              instanceof DefaultBHttpServerConnection open) {
        trigger.sendInformation(new BasicClassicHttpResponse(CONTINUE_STATUS));
        open.flush();
      }
      handler.handle(request, trigger, context);
    };
  }

  /**
   * Prepares to serve a request, which is not closed for another one from then on. Called before it
   * can reach a target.
   *
   * @param context the context of the request
   * @param bodyComplete whether its whole body has been read
   * @return false if the node has no room for the request, so that it must be refused
   */
  public static boolean tryServe(HttpContext context, boolean bodyComplete) {
    return !(context.getAttribute(CONNECTION_ATTRIBUTE) instanceof ServerConnection open)
        || open.reader().map(reader -> reader.tryServe(bodyComplete)).orElse(true);
  }

  /** {@return the port on which it listens} */
  public int port() {
    return serverSocket.getLocalPort();
  }

  /**
   * Returns the number of connections that must not be closed if no request is to be lost.
   *
   * @return the number of connections on which a request has been received and its response not
   *     been sent, or on which bytes wait to be read
   */
  public int busyConnections() {
    return (int) connections.accepted().stream().filter(AcceptedConnection::isBusy).count();
  }

  /** {@return the numbers of connections} */
  ConnectionTable.Counts connectionCounts() {
    return connections.counts();
  }

  /** {@return the number of connections that could not be accepted} */
  long acceptFailures() {
    return acceptFailures.get();
  }

  /**
   * Registers the metrics of this listener.
   *
   * @param metrics receives the metrics
   * @return this listener
   */
  public HttpListener registerWith(NodeMetrics metrics) {
    registerGauge(metrics, "idle", ConnectionTable.Counts::idle);
    registerGauge(metrics, "active", ConnectionTable.Counts::active);
    registerGauge(metrics, "refusing", ConnectionTable.Counts::refusals);
    registerCounter(
        metrics, "connections.replaced", "Idle connections closed for new ones", replacedCount);
    registerCounter(
        metrics, "connections.refused", "Connections refused with a response", refusedCount);
    registerCounter(
        metrics, "connections.dropped", "Connections closed without a response", droppedCount);
    registerCounter(
        metrics, "connections.failed", "Connections reset after a failure", connectionFailures);
    registerCounter(
        metrics, "accepts.failed", "Connections that could not be accepted", acceptFailures);
    registerCounter(
        metrics,
        "responses.unread",
        "Connections reset because the client did not read a response",
        unreadResponses);
    refusedRequests.forEach(
        (reason, count) ->
            metrics.registerCounter(
                "amaranthmoor.requests.refused",
                "Requests refused while they arrived",
                count::get,
                "listener",
                settings.name(),
                "reason",
                reason.label()));
    return this;
  }

  private void registerGauge(
      NodeMetrics metrics, String state, ToIntFunction<ConnectionTable.Counts> count) {
    metrics.registerGauge(
        "amaranthmoor.connections",
        "Open connections of clients",
        () -> count.applyAsInt(connections.counts()),
        "listener",
        settings.name(),
        "state",
        state);
  }

  private void registerCounter(
      NodeMetrics metrics, String name, String description, AtomicLong value) {
    metrics.registerCounter(
        "amaranthmoor." + name, description, value::get, "listener", settings.name());
  }

  private void acceptConnections() {
    while (!closed) {
      try {
        resetUnread();
        serverSocket.setSoTimeout(CHECK_INTERVAL_MILLIS);
        accept(serverSocket.accept());
      } catch (SocketTimeoutException e) {
        // The loop checks the connections.
      } catch (IOException | RuntimeException | Error e) {
        if (!closed) {
          onFailedAccept(e);
        }
      }
    }
  }

  private void resetUnread() {
    long nowNanos = settings.time().nanos();
    if (nowNanos - lastCheckNanos < CHECK_INTERVAL_MILLIS * NANOS_PER_MILLI) {
      return;
    }
    lastCheckNanos = nowNanos;
    long limitNanos = settings.limits().get().enforcedIdleNanos();
    for (AcceptedConnection connection : connections.accepted()) {
      if (connection.isUnread(nowNanos, limitNanos)) {
        unreadResponses.incrementAndGet();
        log.warn("response-unread", () -> name() + " peer=" + connection.peer());
        reset(connection.socket);
      }
    }
  }

  // The pause gives the process time to free memory or file descriptors if it has run out of them.
  private void onFailedAccept(Throwable failure) {
    acceptFailures.incrementAndGet();
    settings.errors().onError(failure);
    try {
      Thread.sleep(ACCEPT_PAUSE_MILLIS);
    } catch (InterruptedException | Error e) {
      // Only close() ends the accepting thread.
    }
    try {
      connections.closeLongestIdle(settings.time().nanos());
      log.warn("accept-failed", () -> name() + " error=" + EventLog.quote(failure.toString()));
    } catch (RuntimeException | Error e) {
      // As above.
    }
  }

  // The socket is closed if no thread takes it over.
  private void accept(Socket socket) {
    boolean started = false;
    try {
      started = !closed && start(socket);
    } finally {
      if (!started) {
        reset(socket);
      }
    }
  }

  private boolean start(Socket socket) {
    AcceptedConnection connection = new AcceptedConnection(socket);
    boolean started = false;
    try {
      started = start(connection, connections.add(connection, settings.time().nanos()));
    } finally {
      if (!started) {
        connections.remove(connection);
      }
    }
    return started;
  }

  private boolean start(AcceptedConnection connection, ConnectionAdmission.Decision decision) {
    switch (decision) {
      case ACCEPT -> executor.execute(connection);
      case REPLACE_IDLE -> {
        replacedCount.incrementAndGet();
        executor.execute(connection);
      }
      case REFUSE -> {
        refusedCount.incrementAndGet();
        startRefusal(connection.socket);
        logIfFull();
      }
      case DROP -> {
        droppedCount.incrementAndGet();
        logIfFull();
      }
    }
    return decision != ConnectionAdmission.Decision.DROP;
  }

  private void startRefusal(Socket socket) {
    boolean started = false;
    try {
      executor.execute(() -> refuse(socket));
      started = true;
    } finally {
      if (!started) {
        connections.endRefusal();
      }
    }
  }

  private void refuse(Socket socket) {
    try (socket) {
      new ConnectionRefusal(socket, settings.time()).send(settings.refusal().get());
    } catch (IOException | RuntimeException | Error e) {
      // The client is gone, or its connection is closed without a response; no request was read.
      settings.errors().onError(e);
    } finally {
      connections.endRefusal();
    }
  }

  private void logIfFull() {
    if (!full.getAndSet(true)) {
      log.warn("connections-full", () -> name() + " capacity=" + settings.admission().capacity());
    }
  }

  private void onEnd(AcceptedConnection connection) {
    connections.remove(connection);
    if (full.get() && !isNearlyFull() && full.getAndSet(false)) {
      log.info(
          "connections-available",
          () -> name() + " refused=" + refusedCount + " dropped=" + droppedCount);
    }
  }

  private boolean isNearlyFull() {
    ConnectionTable.Counts counts = connections.counts();
    return counts.idle() + counts.active() > settings.admission().capacity() * NEARLY_FULL_SHARE;
  }

  private String name() {
    return "listener=" + settings.name() + " port=" + port();
  }

  // Does not send what is buffered, and allocates nothing, so that it succeeds on a full heap.
  private static void reset(Socket socket) {
    try {
      socket.setSoLinger(true, 0);
    } catch (IOException | RuntimeException | Error e) {
      // The socket is closed in any case.
    }
    try {
      socket.close();
    } catch (IOException | RuntimeException | Error e) {
      // Nothing else can be done.
    }
  }

  private static String topFrame(Throwable failure) {
    StackTraceElement[] frames = failure.getStackTrace();
    return frames.length == 0 ? "" : frames[0].toString();
  }

  // A thread that is blocked in accept keeps the port open until it is scheduled again.
  private void awaitAcceptor() {
    try {
      if (!acceptor.join(Duration.ofMillis(CLOSE_TIMEOUT_MILLIS))) {
        log.warn("port-not-closed", this::name);
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** An accepted connection, as the task that serves its requests one after another. */
  private final class AcceptedConnection implements Runnable, ConnectionTable.Connection {

    private final Socket socket;
    private volatile ServerConnection connection;
    private volatile Optional<UnfinishedRequest> request = Optional.empty();

    AcceptedConnection(Socket socket) {
      this.socket = socket;
    }

    @Override
    public void run() {
      try {
        connection = connectionFactory.create(CONFIG);
        bindAndServe(connection);
      } catch (IOException | HttpException e) {
        // The client did not complete a request, or did not read a response.
      } catch (RuntimeException | Error e) {
        reset(socket);
        connectionFailures.incrementAndGet();
        settings.errors().onError(e);
        log.warn(
            "handler-failed",
            () ->
                name()
                    + " error="
                    + EventLog.quote(e.toString())
                    + " at="
                    + EventLog.quote(topFrame(e)));
      } finally {
        reset(socket);
        onEnd(this);
      }
    }

    private void bindAndServe(ServerConnection connection) throws IOException, HttpException {
      socket.setTcpNoDelay(true);
      connection.bind(socket);
      try {
        serveRequests(connection);
      } catch (ConnectionClosedException | SocketException | SocketTimeoutException e) {
        // The client closed the connection or was idle for too long.
      }
      connection.close(CloseMode.GRACEFUL);
    }

    private void serveRequests(ServerConnection connection) throws IOException, HttpException {
      while (!closed && connection.isOpen() && connection.isDataAvailable(idleTimeout())) {
        if (!connections.beginRequest(this)) {
          refusedCount.incrementAndGet();
          new ConnectionRefusal(socket, settings.time()).send(settings.refusal().get());
          return;
        }
        serveRequest(connection);
        connection.onExchangeEnd();
        if (connection.hasBufferedBytes()) {
          RequestReader.yieldToOthers();
        } else {
          connections.becomeIdle(this);
        }
      }
    }

    private Timeout idleTimeout() {
      long nanos = settings.limits().get().enforcedIdleNanos();
      return Timeout.ofMilliseconds(Math.max(1, nanos / NANOS_PER_MILLI));
    }

    private void serveRequest(ServerConnection connection) throws IOException, HttpException {
      UnfinishedRequest arriving =
          settings.unfinished().open(this::closeStalledNow, settings.time().nanos());
      try {
        request = Optional.of(arriving);
        connection.beginRequest(
            new RequestReader(arriving, settings.limits().get(), settings.time()));
        connection.setSocketTimeout(idleTimeout());
        HttpCoreContext context = HttpCoreContext.create();
        context.setAttribute(CONNECTION_ATTRIBUTE, connection);
        service.handleRequest(connection, context);
      } catch (IOException e) {
        arriving.end();
        refuseRequest(arriving, connection, e);
        throw e;
      } finally {
        request = Optional.empty();
        arriving.end();
      }
    }

    // After a response has been begun, or the request may have run, the connection is just closed.
    private void refuseRequest(
        UnfinishedRequest arriving, ServerConnection connection, IOException failure)
        throws IOException {
      boolean limited = failure instanceof RefusedRequestException;
      boolean served = connection.reader().map(RequestReader::isServed).orElse(false);
      if (served || arriving.hasResponse() || !(limited || arriving.closed())) {
        return;
      }
      Reason reason =
          failure instanceof RefusedRequestException refused && !arriving.closed()
              ? refused.reason()
              : Reason.NO_ROOM;
      refusedRequests.get(reason).incrementAndGet();
      log.warn("request-refused", () -> name() + " peer=" + peer() + " reason=" + reason.label());
      new ConnectionRefusal(socket, settings.time()).send(refusal(reason));
    }

    private ClassicHttpResponse refusal(Reason reason) {
      return reason == Reason.NO_ROOM
          ? settings.refusal().get()
          : ListenerSettings.limitExceeded(reason);
    }

    String peer() {
      return String.valueOf(socket.getRemoteSocketAddress());
    }

    boolean isUnread(long nowNanos, long limitNanos) {
      return request.map(current -> current.isUnread(nowNanos, limitNanos)).orElse(false);
    }

    @Override
    public boolean isStalled(long nowNanos) {
      return request.map(current -> current.isStalled(nowNanos)).orElse(false);
    }

    @Override
    public double recentBytes(long nowNanos) {
      return request.map(current -> current.recentBytes(nowNanos)).orElse(0.0);
    }

    @Override
    public boolean closeStalled() {
      return request.map(UnfinishedRequest::close).orElse(false);
    }

    // A thread that reads gets the end of the stream, so that it can refuse the request; one that
    // writes can only be ended by a reset.
    private void closeStalledNow() {
      if (request.map(UnfinishedRequest::hasResponse).orElse(true)) {
        reset(socket);
      } else {
        retire();
      }
    }

    boolean isBusy() {
      ServerConnection current = connection;
      return (current != null && current.inExchange()) || hasBytesWaiting();
    }

    @Override
    public boolean hasBytesWaiting() {
      try {
        return socket.getInputStream().available() > 0;
      } catch (IOException e) {
        // The connection was closed meanwhile.
        return false;
      }
    }

    // The thread of this connection, which waits for a request, closes it.
    @Override
    public void retire() {
      try {
        socket.shutdownInput();
      } catch (IOException e) {
        // The connection was closed meanwhile.
      }
    }
  }

  /**
   * Stops accepting and closes all connections at once. Once it has returned, new connections are
   * refused.
   */
  @Override
  public void close() {
    closed = true;
    try {
      serverSocket.close();
    } catch (IOException e) {
      // The port is closed in any case.
    }
    awaitAcceptor();
    connections.accepted().forEach(connection -> reset(connection.socket));
    if (executor instanceof ExecutorService threads) {
      threads.shutdownNow();
    }
  }
}
