package org.amaranthmoor.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import org.amaranthmoor.daemon.settings.Endpoint;
import org.apache.hc.core5.http.io.HttpServerRequestHandler;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;
import org.junit.jupiter.api.Test;

// A response without an end, of the store or of another server, could fill the heap.
class ControlClientTests {

  private static final int TIMEOUT_MILLIS = 10_000;
  private static final int MAX_BODY_BYTES = 1_000;

  private static ControlClient.Reply get(HttpServerRequestHandler handler) throws IOException {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), 0);
    try (HttpListener listener = new HttpListener(address, handler)) {
      Endpoint endpoint = new Endpoint("127.0.0.1", listener.port());
      return new ControlClient(endpoint, TIMEOUT_MILLIS, MAX_BODY_BYTES).get("/");
    }
  }

  private static HttpServerRequestHandler body(int bytes) {
    return (request, trigger, context) -> {
      BasicClassicHttpResponse response = new BasicClassicHttpResponse(200);
      response.setEntity(new ByteArrayEntity(new byte[bytes], null));
      trigger.submitResponse(response);
    };
  }

  @Test
  void aBodyWithinTheBoundIsRead() throws IOException {
    assertEquals(MAX_BODY_BYTES, get(body(MAX_BODY_BYTES)).body().length);
  }

  @Test
  void aBodyBeyondTheBoundIsNotRead() {
    assertThrows(ControlClient.BodyTooLargeException.class, () -> get(body(MAX_BODY_BYTES + 1)));
  }

  @Test
  void aHeadWithAnOverlongLineIsNotRead() {
    assertThrows(
        IOException.class,
        () ->
            get(
                (request, trigger, context) -> {
                  BasicClassicHttpResponse response = new BasicClassicHttpResponse(200);
                  response.setHeader("X", "x".repeat(100_000));
                  trigger.submitResponse(response);
                }));
  }

  @Test
  void aHeadWithTooManyLinesIsNotRead() {
    assertThrows(
        IOException.class,
        () ->
            get(
                (request, trigger, context) -> {
                  BasicClassicHttpResponse response = new BasicClassicHttpResponse(200);
                  for (int i = 0; i < 1_000; i++) {
                    response.addHeader("X", "x");
                  }
                  trigger.submitResponse(response);
                }));
  }

  @Test
  void theBoundIsAShareOfASmallHeap() {
    assertEquals(2_621_440, ControlClient.bodyLimit(40L << 20));
    assertEquals(8 << 20, ControlClient.bodyLimit(4L << 30));
  }
}
