package org.amaranthmoor.testkit.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;
import org.amaranthmoor.caller.CallHeaders;
import org.amaranthmoor.model.IdempotencyKey;
import org.amaranthmoor.testkit.target.TargetServer;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;

/**
 * Makes calls at a constant rate and checks that each response is complete and belongs to its call.
 *
 * <p>The load is open: calls start at scheduled times whether or not earlier ones have ended.
 * Latencies are measured from those times, so that they include the delay that a stalled system
 * causes. Used by one thread; runs calls on others.
 */
public final class LoadGenerator {

  private static final long TIMEOUT_MILLIS = 15_000;
  private static final long MAX_LATENCY_MICROS = 60_000_000L;
  private static final int OK = 200;

  private final List<InetSocketAddress> nodes;
  private final List<CallTemplate> mix;
  private final Random random;
  private final Map<String, KindStats> statsByKind = new ConcurrentSkipListMap<>();
  private final AtomicLong wrongResponses = new AtomicLong();
  private final AtomicLong nextId = new AtomicLong();

  private static final class KindStats {
    private final Map<String, AtomicLong> outcomes = new ConcurrentSkipListMap<>();
    private final Map<String, AtomicLong> targets = new ConcurrentSkipListMap<>();
    private final Histogram latencyMicros = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
  }

  /**
   * Creates a generator.
   *
   * @param nodes addresses that calls go to, in turn
   * @param mix the kinds of calls
   * @param seed seed of the choice among the kinds
   */
  public LoadGenerator(List<InetSocketAddress> nodes, List<CallTemplate> mix, long seed) {
    this.nodes = List.copyOf(nodes);
    this.mix = List.copyOf(mix);
    this.random = new Random(seed);
  }

  /**
   * Makes calls and waits until all of them have ended.
   *
   * @param callsPerSecond the rate
   * @param calls number of calls
   * @throws InterruptedException if the thread is interrupted
   */
  public void run(double callsPerSecond, int calls) throws InterruptedException {
    CountDownLatch ended = new CountDownLatch(calls);
    long startNanos = System.nanoTime();
    for (int i = 0; i < calls; i++) {
      long dueNanos = startNanos + (long) (i * 1e9 / callsPerSecond);
      sleepUntil(dueNanos);
      CallTemplate template = drawTemplate();
      InetSocketAddress node = nodes.get(i % nodes.size());
      String id = "load-" + startNanos + "-" + nextId.incrementAndGet();
      Thread.ofVirtual()
          .start(
              () -> {
                call(template, node, id, dueNanos);
                ended.countDown();
              });
    }
    ended.await();
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    long remaining = nanos - System.nanoTime();
    if (remaining > 0) {
      Thread.sleep(remaining / 1_000_000, (int) (remaining % 1_000_000));
    }
  }

  private CallTemplate drawTemplate() {
    int total = mix.stream().mapToInt(CallTemplate::weight).sum();
    int drawn = random.nextInt(total);
    for (CallTemplate template : mix) {
      drawn -= template.weight();
      if (drawn < 0) {
        return template;
      }
    }
    return mix.getFirst();
  }

  private void call(CallTemplate template, InetSocketAddress node, String id, long dueNanos) {
    KindStats stats = statsByKind.computeIfAbsent(template.name(), name -> new KindStats());
    String outcome;
    try (HttpCaller caller = new HttpCaller(node, TIMEOUT_MILLIS)) {
      HttpCaller.Response response =
          caller.call(request(template, id), new byte[template.bodyBytes()]);
      outcome = describe(response);
      checkResponse(template, id, response);
      increment(stats.targets, response.header(CallHeaders.TARGET));
    } catch (IOException e) {
      outcome = "no answer";
    }
    increment(stats.outcomes, outcome);
    long latencyMicros = (System.nanoTime() - dueNanos) / 1_000;
    stats.latencyMicros.recordValue(Math.clamp(latencyMicros, 1, MAX_LATENCY_MICROS));
  }

  private static ClassicRequestBuilder request(CallTemplate template, String id) {
    ClassicRequestBuilder builder =
        ClassicRequestBuilder.create(template.method())
            .setPath(template.path())
            .addHeader(TargetServer.REQUEST_ID, id);
    if (template.keyed()) {
      IdempotencyKey key =
          IdempotencyKey.create(
              System.currentTimeMillis(), id.hashCode() * 0x9E3779B97F4A7C15L, id.hashCode());
      builder.addHeader(CallHeaders.IDEMPOTENCY_KEY, key.toString());
    }
    return builder;
  }

  private static String describe(HttpCaller.Response response) {
    String code = response.header(CallHeaders.CODE);
    return response.header(CallHeaders.OUTCOME)
        + " "
        + response.status()
        + (code.isEmpty() ? "" : " " + code);
  }

  private void checkResponse(CallTemplate template, String id, HttpCaller.Response response) {
    if (response.status() != OK) {
      return;
    }
    boolean sameId = response.header(TargetServer.REQUEST_ID).equals(id);
    boolean complete =
        template.path().contains("/large/")
            ? matchesPattern(id, response.body())
            : response.text().startsWith("echo " + id + " length=" + template.bodyBytes() + " ");
    if (!sameId || !complete) {
      wrongResponses.incrementAndGet();
    }
  }

  private static boolean matchesPattern(String id, byte[] body) {
    for (int i = 0; i < body.length; i++) {
      if (body[i] != TargetServer.patternByte(id, i)) {
        return false;
      }
    }
    return true;
  }

  private static void increment(Map<String, AtomicLong> counts, String name) {
    counts.computeIfAbsent(name, key -> new AtomicLong()).incrementAndGet();
  }

  /** {@return number of responses that were truncated or belonged to another call} */
  public long wrongResponses() {
    return wrongResponses.get();
  }

  /**
   * Renders latencies and outcomes by kind, and the number of responses by target.
   *
   * @return the report
   */
  public String report() {
    List<String> lines = new ArrayList<>();
    lines.add(
        String.format(
            Locale.ROOT,
            "%-12s %6s %9s %9s %9s  outcomes",
            "kind",
            "calls",
            "p50 ms",
            "p99 ms",
            "max ms"));
    statsByKind.forEach((name, stats) -> lines.add(line(name, stats)));
    lines.add("answers cut short or another call's: " + wrongResponses.get());
    lines.add("served by:");
    Map<String, Long> servedBy = new TreeMap<>();
    statsByKind
        .values()
        .forEach(stats -> stats.targets.forEach((n, c) -> servedBy.merge(n, c.get(), Long::sum)));
    servedBy.forEach(
        (target, count) ->
            lines.add(
                String.format(
                    Locale.ROOT, "  %-16s %6d", target.isEmpty() ? "(none)" : target, count)));
    return String.join("\n", lines) + "\n";
  }

  private static String line(String name, KindStats stats) {
    return String.format(
        Locale.ROOT,
        "%-12s %6d %9.1f %9.1f %9.1f  %s",
        name,
        stats.latencyMicros.getTotalCount(),
        stats.latencyMicros.getValueAtPercentile(50) / 1_000.0,
        stats.latencyMicros.getValueAtPercentile(99) / 1_000.0,
        stats.latencyMicros.getMaxValue() / 1_000.0,
        stats.outcomes);
  }
}
