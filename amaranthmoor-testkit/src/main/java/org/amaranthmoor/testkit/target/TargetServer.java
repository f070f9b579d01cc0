package org.amaranthmoor.testkit.target;

import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.URI;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.amaranthmoor.caller.CallHeaders;
import org.amaranthmoor.daemon.http.HttpListener;
import org.amaranthmoor.testkit.http.QueryParameters;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.entity.InputStreamEntity;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * A target with a fixed service time that counts the executions of each request and can inject
 * faults.
 *
 * <p>Responds with {@code echo ID length=BYTES from NAME}, where ID is the request's {@code
 * Request-Id}. A path that contains {@code /large/BYTES} gets a body of that many bytes, whose
 * values depend on the id. {@code /executions} lists how often each id ran; {@code /faults?...}
 * injects faults. Safe for use by several threads.
 */
public final class TargetServer implements HttpServerRequestHandler, AutoCloseable {

  /** Header with the id that the caller gave the request. */
  public static final String REQUEST_ID = "Request-Id";

  private static final int OK = 200;
  private static final int INTERNAL_SERVER_ERROR = 500;
  private static final int SERVICE_UNAVAILABLE = 503;
  private static final int BUFFER_BYTES = 16 * 1024;
  private static final String LARGE_PATH = "/large/";

  private final String name;
  private final HttpListener listener;
  private final long serviceMillis;
  private final int slots;
  private final AtomicInteger inFlight = new AtomicInteger();
  private final AtomicLong executed = new AtomicLong();
  private final Map<String, AtomicInteger> executions = new ConcurrentHashMap<>();
  private final long startedNanos = System.nanoTime();
  private volatile Faults faults = Faults.none();

  /**
   * The faults that the target injects.
   *
   * @param slowFactor multiplies the service time
   * @param failFast whether every request fails at once with status 500
   * @param shed whether requests beyond the slots are refused as not run
   * @param dropAfterRun whether the connection is closed after the run, without a response
   * @param lieAboutLength whether the Content-Length of responses exceeds their body
   * @param coldStartMillis time after the start in which requests take ten times as long
   * @param misleadingHealth whether {@code /health} reports ok while requests fail
   */
  public record Faults(
      double slowFactor,
      boolean failFast,
      boolean shed,
      boolean dropAfterRun,
      boolean lieAboutLength,
      long coldStartMillis,
      boolean misleadingHealth) {
    /** {@return no faults} */
    public static Faults none() {
      return new Faults(1, false, false, false, false, 0, false);
    }
  }

  /**
   * Starts the target.
   *
   * @param address the address to listen on
   * @param name the target's name
   * @param serviceMillis service time of a request, in milliseconds
   * @param slots number of concurrent requests above which it sheds load, if that fault is set
   * @throws IOException if the port cannot be opened
   */
  public TargetServer(InetSocketAddress address, String name, long serviceMillis, int slots)
      throws IOException {
    this.name = name;
    this.serviceMillis = serviceMillis;
    this.slots = slots;
    this.listener = new HttpListener(address, this);
  }

  /** {@return the port that the target listens on} */
  public int port() {
    return listener.port();
  }

  /**
   * Replaces the injected faults.
   *
   * @param now the new faults
   */
  public void setFaults(Faults now) {
    faults = now;
  }

  /**
   * Returns the number of executions of a request.
   *
   * @param id the request's id
   * @return the number of executions
   */
  public int executions(String id) {
    AtomicInteger count = executions.get(id);
    return count == null ? 0 : count.get();
  }

  /** {@return the number of executions of all requests} */
  public long executed() {
    return executed.get();
  }

  @Override
  public void close() {
    listener.close();
  }

  @Override
  public void handle(ClassicHttpRequest request, ResponseTrigger trigger, HttpContext context)
      throws HttpException, IOException {
    URI uri = URI.create(request.getRequestUri());
    switch (uri.getPath()) {
      case "/health" -> trigger.submitResponse(health());
      case "/executions" -> trigger.submitResponse(text(OK, listExecutions()));
      case "/faults" -> {
        setFaults(parseFaults(uri.getQuery()));
        trigger.submitResponse(text(OK, "ok\n"));
      }
      default -> run(request, uri, trigger);
    }
  }

  private ClassicHttpResponse health() {
    boolean failing = faults.failFast() && !faults.misleadingHealth();
    return failing ? text(SERVICE_UNAVAILABLE, "failing\n") : text(OK, "ok\n");
  }

  private String listExecutions() {
    StringBuilder lines = new StringBuilder();
    executions.forEach((id, count) -> lines.append(id).append(' ').append(count).append('\n'));
    return lines.toString();
  }

  private void run(ClassicHttpRequest request, URI uri, ResponseTrigger trigger)
      throws HttpException, IOException {
    int running = inFlight.incrementAndGet();
    try {
      if (faults.shed() && running > slots) {
        trigger.submitResponse(shed());
        return;
      }
      String id = requestId(request);
      long bodyBytes = readBody(request);
      count(id);
      if (faults.failFast()) {
        trigger.submitResponse(text(INTERNAL_SERVER_ERROR, "failed " + id + "\n"));
        return;
      }
      sleepServiceTime();
      if (faults.dropAfterRun()) {
        throw new IOException(
            "fault drop-after-run: the connection is closed after the run of request " + id);
      }
      respond(trigger, uri, id, bodyBytes);
    } finally {
      inFlight.decrementAndGet();
    }
  }

  private static ClassicHttpResponse shed() {
    ClassicHttpResponse response = text(SERVICE_UNAVAILABLE, "shed\n");
    response.setHeader(CallHeaders.TARGET_REFUSED, "not-run");
    return response;
  }

  private static String requestId(ClassicHttpRequest request) {
    Header header = request.getFirstHeader(REQUEST_ID);
    return header == null ? "none" : header.getValue();
  }

  private static long readBody(ClassicHttpRequest request) throws IOException {
    if (request.getEntity() == null) {
      return 0;
    }
    long total = 0;
    byte[] buffer = new byte[BUFFER_BYTES];
    try (InputStream body = request.getEntity().getContent()) {
      int count = body.read(buffer);
      while (count >= 0) {
        total += count;
        count = body.read(buffer);
      }
    }
    return total;
  }

  private void count(String id) {
    executed.incrementAndGet();
    executions.computeIfAbsent(id, key -> new AtomicInteger()).incrementAndGet();
  }

  private void sleepServiceTime() throws IOException {
    long ageMillis = (System.nanoTime() - startedNanos) / 1_000_000;
    boolean cold = ageMillis < faults.coldStartMillis();
    double millis = serviceMillis * faults.slowFactor() * (cold ? 10 : 1);
    try {
      Thread.sleep((long) millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IOException("target " + name + " was interrupted while it ran a request", e);
    }
  }

  private void respond(ResponseTrigger trigger, URI uri, String id, long bodyBytes)
      throws HttpException, IOException {
    int largePathIndex = uri.getPath().indexOf(LARGE_PATH);
    ClassicHttpResponse response;
    if (largePathIndex >= 0) {
      long size = Long.parseLong(uri.getPath().substring(largePathIndex + LARGE_PATH.length()));
      response = new BasicClassicHttpResponse(OK);
      response.setEntity(
          new InputStreamEntity(
              new PatternBody(id, size), size, ContentType.APPLICATION_OCTET_STREAM));
    } else {
      response = text(OK, "echo " + id + " length=" + bodyBytes + " from " + name + "\n");
    }
    if (faults.lieAboutLength()) {
      overstateLength(response, id);
    }
    response.setHeader(REQUEST_ID, id);
    trigger.submitResponse(response);
  }

  private static void overstateLength(ClassicHttpResponse response, String id) {
    InputStream body = new PatternBody(id, 10);
    response.setEntity(new InputStreamEntity(body, 100, ContentType.TEXT_PLAIN));
  }

  private static ClassicHttpResponse text(int status, String text) {
    ClassicHttpResponse response = new BasicClassicHttpResponse(status);
    response.setEntity(new StringEntity(text, ContentType.TEXT_PLAIN));
    return response;
  }

  private static Faults parseFaults(String text) {
    QueryParameters query = QueryParameters.parse(text);
    return new Faults(
        query.decimal("slow-factor", 1),
        query.flag("fail-fast"),
        query.flag("shed"),
        query.flag("drop-after-run"),
        query.flag("lie-about-length"),
        query.number("cold-start-millis"),
        query.flag("misleading-health"));
  }

  /**
   * Returns the expected byte at a position of a large response.
   *
   * @param id the request's id
   * @param position the position in the body, from 0
   * @return the byte
   */
  public static byte patternByte(String id, long position) {
    return (byte) (id.hashCode() + position * 31);
  }

  // A body of a given size whose bytes depend on the request's id and their position.
  private static final class PatternBody extends InputStream {
    private final String id;
    private final long size;
    private long position;

    PatternBody(String id, long size) {
      this.id = id;
      this.size = size;
    }

    @Override
    public int read() {
      return position >= size ? -1 : patternByte(id, position++) & 0xFF;
    }

    @Override
    public int read(byte[] buffer, int offset, int length) {
      if (position >= size) {
        return -1;
      }
      int count = (int) Math.min(length, size - position);
      for (int i = 0; i < count; i++) {
        buffer[offset + i] = patternByte(id, position++);
      }
      return count;
    }
  }
}
