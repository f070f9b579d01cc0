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
 * Makes calls at a steady rate and checks that every answer is whole and its own.
 *
 * <p>Calls start at set times whether or not earlier ones have ended, and latencies count from
 * those times, so that a stalled system cannot hide its stall. Used by one thread; runs calls on
 * others.
 */
public final class LoadGenerator {

  private static final long TIMEOUT_MILLIS = 15_000;
  private static final long MAX_LATENCY_MICROS = 60_000_000L;
  private static final int OK = 200;

  private final List<InetSocketAddress> nodes;
  private final List<CallTemplate> mix;
  private final Random random;
  private final Map<String, Tally> tallies = new ConcurrentSkipListMap<>();
  private final AtomicLong wrongResponses = new AtomicLong();
  private final AtomicLong nextId = new AtomicLong();

  private static final class Tally {
    private final Map<String, AtomicLong> outcomes = new ConcurrentSkipListMap<>();
    private final Map<String, AtomicLong> targets = new ConcurrentSkipListMap<>();
    private final Histogram micros = new ConcurrentHistogram(MAX_LATENCY_MICROS, 3);
  }

  /**
   * Creates a generator.
   *
   * @param nodes addresses that calls go to, each in turn
   * @param mix kinds of calls
   * @param seed seed of the choice of kinds
   */
  public LoadGenerator(List<InetSocketAddress> nodes, List<CallTemplate> mix, long seed) {
    this.nodes = List.copyOf(nodes);
    this.mix = List.copyOf(mix);
    this.random = new Random(seed);
  }

  /**
   * Makes calls and waits for all of them to end.
   *
   * @param callsPerSecond the rate
   * @param calls how many calls
   * @throws InterruptedException if the thread is interrupted
   */
  public void run(double callsPerSecond, int calls) throws InterruptedException {
    CountDownLatch ended = new CountDownLatch(calls);
    long startNanos = System.nanoTime();
    for (int i = 0; i < calls; i++) {
      long dueNanos = startNanos + (long) (i * 1e9 / callsPerSecond);
      sleepUntil(dueNanos);
      CallTemplate kind = choose();
      InetSocketAddress node = nodes.get(i % nodes.size());
      String id = "load-" + startNanos + "-" + nextId.incrementAndGet();
      Thread.ofVirtual()
          .start(
              () -> {
                call(kind, node, id, dueNanos);
                ended.countDown();
              });
    }
    ended.await();
  }

  private static void sleepUntil(long nanos) throws InterruptedException {
    long left = nanos - System.nanoTime();
    if (left > 0) {
      Thread.sleep(left / 1_000_000, (int) (left % 1_000_000));
    }
  }

  private CallTemplate choose() {
    int total = mix.stream().mapToInt(CallTemplate::weight).sum();
    int drawn = random.nextInt(total);
    for (CallTemplate kind : mix) {
      drawn -= kind.weight();
      if (drawn < 0) {
        return kind;
      }
    }
    return mix.getFirst();
  }

  private void call(CallTemplate kind, InetSocketAddress node, String id, long dueNanos) {
    Tally tally = tallies.computeIfAbsent(kind.name(), name -> new Tally());
    String outcome;
    try (HttpCaller caller = new HttpCaller(node, TIMEOUT_MILLIS)) {
      HttpCaller.Response response = caller.call(request(kind, id), new byte[kind.bodyBytes()]);
      outcome = describe(response);
      check(kind, id, response);
      count(tally.targets, response.header(CallHeaders.TARGET));
    } catch (IOException e) {
      outcome = "no answer";
    }
    count(tally.outcomes, outcome);
    long micros = (System.nanoTime() - dueNanos) / 1_000;
    tally.micros.recordValue(Math.clamp(micros, 1, MAX_LATENCY_MICROS));
  }

  private static ClassicRequestBuilder request(CallTemplate kind, String id) {
    ClassicRequestBuilder builder =
        ClassicRequestBuilder.create(kind.method())
            .setPath(kind.path())
            .addHeader(TargetServer.REQUEST_ID, id);
    if (kind.keyed()) {
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

  private void check(CallTemplate kind, String id, HttpCaller.Response response) {
    if (response.status() != OK) {
      return;
    }
    boolean own = response.header(TargetServer.REQUEST_ID).equals(id);
    boolean whole =
        kind.path().contains("/large/")
            ? isPattern(id, response.body())
            : response.text().startsWith("echo " + id + " length=" + kind.bodyBytes() + " ");
    if (!own || !whole) {
      wrongResponses.incrementAndGet();
    }
  }

  private static boolean isPattern(String id, byte[] body) {
    for (int i = 0; i < body.length; i++) {
      if (body[i] != TargetServer.patternByte(id, i)) {
        return false;
      }
    }
    return true;
  }

  private static void count(Map<String, AtomicLong> counts, String name) {
    counts.computeIfAbsent(name, key -> new AtomicLong()).incrementAndGet();
  }

  /** {@return how many answers were cut short or another call's} */
  public long wrongResponses() {
    return wrongResponses.get();
  }

  /**
   * Renders what was served, where and how fast.
   *
   * @return the text
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
    tallies.forEach((name, tally) -> lines.add(line(name, tally)));
    lines.add("answers cut short or another call's: " + wrongResponses.get());
    lines.add("served by:");
    Map<String, Long> servedBy = new TreeMap<>();
    tallies
        .values()
        .forEach(t -> t.targets.forEach((n, c) -> servedBy.merge(n, c.get(), Long::sum)));
    servedBy.forEach(
        (target, count) ->
            lines.add(
                String.format(
                    Locale.ROOT, "  %-16s %6d", target.isEmpty() ? "(none)" : target, count)));
    return String.join("\n", lines) + "\n";
  }

  private static String line(String name, Tally tally) {
    return String.format(
        Locale.ROOT,
        "%-12s %6d %9.1f %9.1f %9.1f  %s",
        name,
        tally.micros.getTotalCount(),
        tally.micros.getValueAtPercentile(50) / 1_000.0,
        tally.micros.getValueAtPercentile(99) / 1_000.0,
        tally.micros.getMaxValue() / 1_000.0,
        tally.outcomes);
  }
}
