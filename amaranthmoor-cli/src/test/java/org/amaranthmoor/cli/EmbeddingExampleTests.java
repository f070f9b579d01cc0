package org.amaranthmoor.cli;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.amaranthmoor.balance.PickPolicy;
import org.amaranthmoor.balance.Picker;
import org.amaranthmoor.balance.Server;
import org.amaranthmoor.balance.ServerStats;
import org.amaranthmoor.model.Incarnation;
import org.amaranthmoor.model.NodeName;
import org.amaranthmoor.model.TargetName;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.model.ZoneName;
import org.junit.jupiter.api.Test;

class EmbeddingExampleTests {

  @Test
  void theExampleInTheEmbeddingGuideWorks() {
    TimeSource time = TimeSource.system();
    SplittableRandom random = new SplittableRandom(1);
    List<Server> servers =
        List.of(
            new Server(
                new NodeName("n1"),
                new Incarnation(1),
                new TargetName("t1"),
                new ZoneName("kochi"),
                "127.0.0.1",
                9000,
                6,
                new ServerStats(time.nanos())));
    long latencyNanos = 5_000_000;

    Picker picker =
        new Picker(new PickPolicy.LeastExpectedLatency(6, 1_000_000), new ZoneName("kochi"));
    Optional<Server> server = picker.pick(servers, Set.of(), time.nanos(), random);
    server.get().stats().onStart(time.nanos());
    server.get().stats().onFinish(latencyNanos, false, time.nanos());

    assertEquals(1, server.get().stats().finished());
  }
}
