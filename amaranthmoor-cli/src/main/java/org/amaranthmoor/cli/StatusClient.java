package org.amaranthmoor.cli;

import java.io.IOException;
import org.amaranthmoor.daemon.http.ControlClient;
import org.amaranthmoor.daemon.operator.StatusView;
import org.amaranthmoor.daemon.settings.Endpoint;
import tools.jackson.databind.json.JsonMapper;

/** Reads the status of the system from the admin port of a node. */
final class StatusClient {

  private static final int TIMEOUT_MILLIS = 5_000;
  private static final JsonMapper JSON = JsonMapper.builder().build();

  private final ControlClient client;

  StatusClient(Endpoint node) {
    this.client = new ControlClient(node, TIMEOUT_MILLIS);
  }

  String readJson() throws IOException {
    ControlClient.Reply response = client.get("/status");
    if (response.status() != 200) {
      throw new IOException(
          "the node responded to GET /status with status " + response.status() + "; expected 200");
    }
    return response.text();
  }

  StatusView readView() throws IOException {
    return JSON.readValue(readJson(), StatusView.class);
  }

  static String toJson(Object value) {
    return JSON.writerWithDefaultPrettyPrinter().writeValueAsString(value);
  }
}
