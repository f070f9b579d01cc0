package org.amaranthmoor.cli;

import java.io.IOException;
import org.amaranthmoor.daemon.http.ControlClient;
import org.amaranthmoor.daemon.operator.StatusView;
import org.amaranthmoor.daemon.settings.Endpoint;
import tools.jackson.databind.json.JsonMapper;

/** Reads the status from a node. */
final class StatusSource {

  private static final int TIMEOUT_MILLIS = 5_000;
  private static final JsonMapper JSON = JsonMapper.builder().build();

  private final ControlClient client;

  StatusSource(Endpoint node) {
    this.client = new ControlClient(node, TIMEOUT_MILLIS);
  }

  String json() throws IOException {
    ControlClient.Reply reply = client.get("/status");
    if (reply.status() != 200) {
      throw new IOException("the node answered with status " + reply.status());
    }
    return reply.text();
  }

  StatusView view() throws IOException {
    return JSON.readValue(json(), StatusView.class);
  }

  static String toJson(Object value) {
    return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(value);
  }
}
