package org.amaranthmoor.daemon.operator;

import java.io.IOException;
import java.util.function.Supplier;
import org.amaranthmoor.daemon.metrics.NodeMetrics;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;
import tools.jackson.databind.json.JsonMapper;

/**
 * Serves the HTTP endpoints for operators.
 *
 * <p>{@code /health} responds with 200 while the process is running; {@code /ready} with 200 while
 * the node accepts new calls, and with 503 and the reason before it has a configuration and while
 * it drains; {@code /metrics} with the metrics; {@code /status} with the status as JSON. Safe for
 * use by several threads.
 */
public final class AdminHandler implements HttpServerRequestHandler {

  private static final JsonMapper JSON = JsonMapper.builder().build();
  private static final int OK = 200;
  private static final int NOT_FOUND = 404;
  private static final int NOT_READY = 503;

  private final NodeMetrics metrics;
  private final Supplier<String> notReadyReason;
  private final Supplier<StatusView> status;

  /**
   * Creates a handler.
   *
   * @param metrics the metrics
   * @param notReadyReason returns why the node accepts no new calls, or an empty text if it does
   * @param status collects the status
   */
  public AdminHandler(
      NodeMetrics metrics, Supplier<String> notReadyReason, Supplier<StatusView> status) {
    this.metrics = metrics;
    this.notReadyReason = notReadyReason;
    this.status = status;
  }

  @Override
  public void handle(ClassicHttpRequest request, ResponseTrigger trigger, HttpContext context)
      throws HttpException, IOException {
    trigger.submitResponse(
        switch (request.getPath()) {
          case "/health" -> text(OK, "ok\n");
          case "/ready" -> ready();
          case "/metrics" -> text(OK, metrics.render());
          case "/status" -> json(status.get());
          default -> text(NOT_FOUND, "known are /health, /ready, /metrics and /status\n");
        });
  }

  private ClassicHttpResponse ready() {
    String reason = notReadyReason.get();
    return reason.isEmpty() ? text(OK, "ready\n") : text(NOT_READY, reason + "\n");
  }

  private static ClassicHttpResponse text(int status, String text) {
    ClassicHttpResponse response = new BasicClassicHttpResponse(status);
    response.setEntity(new StringEntity(text, ContentType.TEXT_PLAIN));
    return response;
  }

  private static ClassicHttpResponse json(StatusView view) {
    ClassicHttpResponse response = new BasicClassicHttpResponse(OK);
    String text = JSON.writeValueAsString(view);
    response.setEntity(new StringEntity(text, ContentType.APPLICATION_JSON));
    return response;
  }
}
