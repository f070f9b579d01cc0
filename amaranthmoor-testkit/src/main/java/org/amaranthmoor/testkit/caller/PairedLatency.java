package org.amaranthmoor.testkit.caller;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import org.HdrHistogram.Histogram;
import org.apache.hc.core5.http.io.support.ClassicRequestBuilder;

/**
 * Compares the latency of calls straight to a target with that of calls through nodes.
 *
 * <p>One caller makes a call of each way in turn, so that both meet the same machine. Used by one
 * thread; the load runs on others.
 */
public final class PairedLatency {

  private static final long TIMEOUT_MILLIS = 10_000;
  private static final long MAX_NANOS = 10_000_000_000L;

  private final List<Way> ways = new ArrayList<>();

  private record Way(String name, InetSocketAddress address, String path, Histogram nanos) {}

  /** Creates a comparison without ways. */
  public PairedLatency() {}

  /**
   * Adds a way.
   *
   * @param name the name in the report
   * @param address where calls go
   * @param path the path
   */
  public void add(String name, InetSocketAddress address, String path) {
    ways.add(new Way(name, address, path, new Histogram(MAX_NANOS, 3)));
  }

  /**
   * Makes calls in turn.
   *
   * @param warmUp calls of each way that are not counted
   * @param calls calls of each way that are counted
   * @throws IOException if a call fails
   */
  public void run(int warmUp, int calls) throws IOException {
    List<HttpCaller> callers = new ArrayList<>();
    for (Way way : ways) {
      callers.add(new HttpCaller(way.address, TIMEOUT_MILLIS));
    }
    for (int i = 0; i < warmUp + calls; i++) {
      for (int w = 0; w < ways.size(); w++) {
        long nanos = call(callers.get(w), ways.get(w));
        if (i >= warmUp) {
          ways.get(w).nanos.recordValue(nanos);
        }
      }
    }
    callers.forEach(HttpCaller::close);
  }

  private static long call(HttpCaller caller, Way way) throws IOException {
    long start = System.nanoTime();
    HttpCaller.Answer answer = caller.call(ClassicRequestBuilder.get(way.path));
    long nanos = System.nanoTime() - start;
    if (answer.status() != 200) {
      throw new IOException(way.name + " answered with status " + answer.status());
    }
    return Math.min(nanos, MAX_NANOS);
  }

  /**
   * Makes calls of the last way by several callers at once.
   *
   * @param callers how many callers
   * @param seconds how long
   * @return calls per second
   * @throws InterruptedException if the thread is interrupted
   */
  public double throughput(int callers, int seconds) throws InterruptedException {
    Way way = ways.getLast();
    AtomicLong made = new AtomicLong();
    CountDownLatch ended = new CountDownLatch(callers);
    long end = System.nanoTime() + seconds * 1_000_000_000L;
    for (int i = 0; i < callers; i++) {
      Thread.ofPlatform().start(() -> callUntil(way, end, made, ended));
    }
    ended.await();
    return made.get() / (double) seconds;
  }

  private static void callUntil(Way way, long end, AtomicLong made, CountDownLatch ended) {
    try (HttpCaller caller = new HttpCaller(way.address, TIMEOUT_MILLIS)) {
      while (System.nanoTime() < end) {
        call(caller, way);
        made.incrementAndGet();
      }
    } catch (IOException e) {
      System.err.println("a call failed: " + e.getMessage());
    } finally {
      ended.countDown();
    }
  }

  /**
   * Renders the latencies, and what each way adds to the first.
   *
   * @return the text
   */
  public String report() {
    StringBuilder text = new StringBuilder();
    text.append("| way | calls | p50 ms | p99 ms | added p50 ms | added p99 ms |\n");
    text.append("|---|---|---|---|---|---|\n");
    Histogram first = ways.getFirst().nanos;
    for (Way way : ways) {
      text.append(
          String.format(
              Locale.ROOT,
              "| %s | %d | %.3f | %.3f | %.3f | %.3f |%n",
              way.name,
              way.nanos.getTotalCount(),
              millis(way.nanos, 50),
              millis(way.nanos, 99),
              millis(way.nanos, 50) - millis(first, 50),
              millis(way.nanos, 99) - millis(first, 99)));
    }
    return text.toString();
  }

  private static double millis(Histogram nanos, double percentile) {
    return nanos.getValueAtPercentile(percentile) / 1e6;
  }
}
