package org.amaranthmoor.daemon.target;

import java.io.IOException;
import java.util.Optional;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.HttpEntity;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;

/**
 * Sends health checks to the target.
 *
 * <p>Safe for use by several threads.
 */
public final class HealthCheckClient {

  /**
   * Timeout of the connect, and again of each read of the response, in nanoseconds: a target
   * responds to its health check at once, whatever its load.
   */
  private static final long TIMEOUT_NANOS = 60_000_000L;

  /** Largest body of a response that is read to its end, in bytes. */
  private static final int MAX_BODY_BYTES = 4_096;

  /**
   * The health check of a target.
   *
   * @param address the address of the target
   * @param path the path of the health check
   */
  public record HealthCheck(Endpoint address, String path) {}

  private final TargetConnectionPool connections;
  private final TargetDialect dialect;

  /**
   * Creates a client.
   *
   * @param connections connections to the target
   * @param dialect interprets the responses
   */
  public HealthCheckClient(TargetConnectionPool connections, TargetDialect dialect) {
    this.connections = connections;
    this.dialect = dialect;
  }

  /**
   * Sends a health check. Blocks.
   *
   * @param check the health check
   * @return the head of the response, or empty if the response is not one to a health check
   * @throws IOException if the target cannot be reached or does not respond in time
   * @throws HttpException if the response is not valid HTTP
   */
  public Optional<HttpResponse> send(HealthCheck check) throws IOException, HttpException {
    TargetConnection connection = connections.acquire(check.address(), true, TIMEOUT_NANOS);
    boolean reusable = false;
    try {
      connection.setTimeoutNanos(TIMEOUT_NANOS);
      BasicClassicHttpRequest request =
          new BasicClassicHttpRequest("GET", null, null, check.path());
      request.setHeader("Host", check.address().toString());
      connection.sendRequestHeader(request);
      connection.flush();
      ClassicHttpResponse response = connection.receiveResponseHeader();
      connection.receiveResponseEntity(response);
      connection.readKeepAlive(response);
      boolean valid = dialect.isHealthCheckResponse(response);
      reusable =
          discardBody(response.getEntity())
              && valid
              && TargetExchange.keepsAlive(request, response);
      return valid ? Optional.of(response) : Optional.empty();
    } finally {
      if (reusable) {
        connections.release(connection);
      } else {
        connection.abort();
      }
    }
  }

  // Reads the body and returns whether that was all of it. A body that is longer than a response to
  // a health check can be endless, so the rest is not read.
  private static boolean discardBody(HttpEntity entity) throws IOException {
    return entity == null
        || entity.getContent().readNBytes(MAX_BODY_BYTES + 1).length <= MAX_BODY_BYTES;
  }
}
