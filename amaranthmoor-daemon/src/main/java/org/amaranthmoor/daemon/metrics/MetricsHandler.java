package org.amaranthmoor.daemon.metrics;

import java.io.IOException;
import org.apache.hc.core5.http.ClassicHttpRequest;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.apache.hc.core5.http.protocol.HttpContext;

/**
 * Serves metrics at any path.
 *
 * <p>Safe for use by several threads.
 *
 * @param metrics the metrics
 */
public record MetricsHandler(NodeMetrics metrics) implements HttpServerRequestHandler {

  private static final int OK = 200;

  @Override
  public void handle(ClassicHttpRequest request, ResponseTrigger trigger, HttpContext context)
      throws HttpException, IOException {
    ClassicHttpResponse response = new BasicClassicHttpResponse(OK);
    response.setEntity(new StringEntity(metrics.render(), ContentType.TEXT_PLAIN));
    trigger.submitResponse(response);
  }
}
