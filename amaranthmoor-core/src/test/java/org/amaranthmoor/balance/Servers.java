package org.amaranthmoor.balance;

import java.util.ArrayList;
import java.util.List;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.LoadReport;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.model.ZoneName;

/** Builds servers for tests. */
final class Servers {

  static final int SLOTS = 6;
  static final long NOW = 10_000_000_000L;

  private Servers() {}

  static Server server(String name, String zone) {
    return new Server(
        new NodeName(name),
        new Incarnation(1),
        new TargetName(name),
        new ZoneName(zone),
        "127.0.0.1",
        1,
        SLOTS,
        new ServerStats(0));
  }

  static List<Server> servers(int count) {
    List<Server> servers = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      servers.add(server("s" + i, "z" + i % 3));
    }
    return servers;
  }

  static void answerCall(Server server, long latencyNanos, int occupancy) {
    server.stats().onStart(NOW - latencyNanos);
    server.stats().onFinish(latencyNanos, false, NOW);
    server.stats().onReport(new LoadReport(occupancy, 0, SLOTS, latencyNanos, false, 0), NOW);
  }

  static void failCalls(List<Server> servers, Server server, int times) {
    for (int i = 0; i < times; i++) {
      server.stats().onStart(NOW);
      server.stats().onFinish(1_000, true, NOW);
      Ejection.afterCall(servers, server, true, NOW);
    }
  }
}
