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
 * <p>Calls of all variants alternate, so that the state of the machine affects them equally. Used
 * by one thread; {@link #throughput} makes its calls on other threads.
 */
public final class LatencyComparison {

  private static final long TIMEOUT_MILLIS = 10_000;
  private static final long MAX_NANOS = 10_000_000_000L;

  private final List<Variant> variants = new ArrayList<>();

  private record Variant(String name, InetSocketAddress address, String path, Histogram nanos) {}

  /** Creates a comparison without variants. */
  public LatencyComparison() {}

  /**
   * Adds a variant.
   *
   * @param name the name in the report
   * @param address the address that calls go to
   * @param path the path of the requests
   */
  public void add(String name, InetSocketAddress address, String path) {
    variants.add(new Variant(name, address, path, new Histogram(MAX_NANOS, 3)));
  }

  /**
   * Makes calls of all variants in turn.
   *
   * @param warmUp number of first calls of each variant that are not measured
   * @param calls number of calls of each variant that are measured
   * @throws IOException if a call fails or its status is not 200
   */
  public void run(int warmUp, int calls) throws IOException {
    List<HttpCaller> callers = new ArrayList<>();
    for (Variant variant : variants) {
      callers.add(new HttpCaller(variant.address, TIMEOUT_MILLIS));
    }
    for (int i = 0; i < warmUp + calls; i++) {
      for (int w = 0; w < variants.size(); w++) {
        long nanos = call(callers.get(w), variants.get(w));
        if (i >= warmUp) {
          variants.get(w).nanos.recordValue(nanos);
        }
      }
    }
    callers.forEach(HttpCaller::close);
  }

  private static long call(HttpCaller caller, Variant variant) throws IOException {
    long start = System.nanoTime();
    HttpCaller.Response response = caller.call(ClassicRequestBuilder.get(variant.path));
    long nanos = System.nanoTime() - start;
    if (response.status() != 200) {
      throw new IOException(
          "a call of \""
              + variant.name
              + "\" returned status "
              + response.status()
              + "; expected 200");
    }
    return Math.min(nanos, MAX_NANOS);
  }

  /**
   * Measures the throughput of the last variant with several concurrent callers. A caller stops at
   * its first failed call.
   *
   * @param callers number of callers
   * @param seconds how long they make calls
   * @return completed calls per second
   * @throws InterruptedException if the thread is interrupted
   */
  public double throughput(int callers, int seconds) throws InterruptedException {
    Variant variant = variants.getLast();
    AtomicLong completed = new AtomicLong();
    CountDownLatch ended = new CountDownLatch(callers);
    long end = System.nanoTime() + seconds * 1_000_000_000L;
    for (int i = 0; i < callers; i++) {
      Thread.ofPlatform().start(() -> callUntil(variant, end, completed, ended));
    }
    ended.await();
    return completed.get() / (double) seconds;
  }

  private static void callUntil(
      Variant variant, long end, AtomicLong completed, CountDownLatch ended) {
    try (HttpCaller caller = new HttpCaller(variant.address, TIMEOUT_MILLIS)) {
      while (System.nanoTime() < end) {
        call(caller, variant);
        completed.incrementAndGet();
      }
    } catch (IOException e) {
      System.err.println(
          "a caller of \"" + variant.name + "\" stopped after a failed call: " + e.getMessage());
    } finally {
      ended.countDown();
    }
  }

  /**
   * Renders the latencies of each variant and their differences from the first variant.
   *
   * @return a Markdown table
   */
  public String report() {
    StringBuilder text = new StringBuilder();
    text.append("| way | calls | p50 ms | p99 ms | added p50 ms | added p99 ms |\n");
    text.append("|---|---|---|---|---|---|\n");
    Histogram first = variants.getFirst().nanos;
    for (Variant variant : variants) {
      text.append(
          String.format(
              Locale.ROOT,
              "| %s | %d | %.3f | %.3f | %.3f | %.3f |%n",
              variant.name,
              variant.nanos.getTotalCount(),
              millis(variant.nanos, 50),
              millis(variant.nanos, 99),
              millis(variant.nanos, 50) - millis(first, 50),
              millis(variant.nanos, 99) - millis(first, 99)));
    }
    return text.toString();
  }

  private static double millis(Histogram nanos, double percentile) {
    return nanos.getValueAtPercentile(percentile) / 1e6;
  }
}
