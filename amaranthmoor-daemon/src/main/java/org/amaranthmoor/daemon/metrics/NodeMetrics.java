package org.amaranthmoor.daemon.metrics;

import io.micrometer.core.instrument.Counter;
import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.Timer;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.time.Duration;
import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.function.LongSupplier;
import java.util.function.Supplier;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.ServiceName;

/**
 * Metrics of a node, in the format of Prometheus.
 *
 * <p>Safe for use by several threads.
 */
public final class NodeMetrics {

  private static final Duration[] LATENCY_BUCKETS = {
    Duration.ofMillis(1),
    Duration.ofMillis(5),
    Duration.ofMillis(10),
    Duration.ofMillis(25),
    Duration.ofMillis(50),
    Duration.ofMillis(100),
    Duration.ofMillis(250),
    Duration.ofMillis(500),
    Duration.ofSeconds(1),
    Duration.ofSeconds(5)
  };

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);
  private final Counter lateFrames =
      Counter.builder("amaranthmoor.late.frames")
          .description("Frames that belonged to no request and were dropped")
          .register(registry);
  private final Counter linkFailures =
      Counter.builder("amaranthmoor.link.failures")
          .description("Links between nodes that closed themselves because of a failure")
          .register(registry);
  private final Counter controlBytes =
      Counter.builder("amaranthmoor.control.bytes")
          .description("Bytes of gossip, probes, leases and state, sent and received")
          .baseUnit("bytes")
          .register(registry);
  private final Counter sourceRollbacks =
      Counter.builder("amaranthmoor.source.returns")
          .description("Times that the source came back from an older copy")
          .register(registry);
  private final Counter retries =
      Counter.builder("amaranthmoor.retries")
          .description("Attempts after one that may have reached a target")
          .register(registry);
  private final Timer targetWaits =
      Timer.builder("amaranthmoor.target.wait")
          .description("Time that requests waited for a slot of the target")
          .serviceLevelObjectives(LATENCY_BUCKETS)
          .register(registry);
  // Micrometer refers to the providers of counters weakly.
  private final Queue<LongSupplier> counterValues = new ConcurrentLinkedQueue<>();
  private final Map<ResultCode, Counter> refusals = new ConcurrentHashMap<>();
  private final Map<OutcomeKey, Counter> outcomes = new ConcurrentHashMap<>();
  private final Map<ServiceName, Timer> latencies = new ConcurrentHashMap<>();

  private record OutcomeKey(ServiceName service, String outcome, int code) {}

  /** Creates metrics that are all zero. */
  public NodeMetrics() {}

  /**
   * Counts a call that ended at this entry side.
   *
   * @param service the service
   * @param outcome answered, not-run or unknown
   * @param code number of the result code, 0 for a target's response
   * @param nanos time from the arrival of the call to the head of its response
   */
  public void recordCall(ServiceName service, String outcome, int code, long nanos) {
    outcomes.computeIfAbsent(new OutcomeKey(service, outcome, code), this::outcome).increment();
    latencies.computeIfAbsent(service, this::latency).record(Duration.ofNanos(nanos));
  }

  private Counter outcome(OutcomeKey key) {
    return Counter.builder("amaranthmoor.calls")
        .description("Calls that ended at this entry side")
        .tag("service", key.service.value())
        .tag("outcome", key.outcome)
        .tag("code", Integer.toString(key.code))
        .register(registry);
  }

  private Timer latency(ServiceName service) {
    return Timer.builder("amaranthmoor.call.latency")
        .description("Time from arrival of a call to the head of its answer")
        .tag("service", service.value())
        .serviceLevelObjectives(LATENCY_BUCKETS)
        .register(registry);
  }

  /**
   * Counts a request that this target side refused.
   *
   * @param code the result code
   */
  public void countTargetRefusal(ResultCode code) {
    refusals.computeIfAbsent(code, this::refusal).increment();
  }

  private Counter refusal(ResultCode code) {
    return Counter.builder("amaranthmoor.target.refusals")
        .description("Requests that this target side did not take")
        .tag("code", Integer.toString(code.number()))
        .register(registry);
  }

  /**
   * Records the time that a request waited for a slot of the target.
   *
   * @param nanos the wait, also of a request that got no slot
   */
  public void recordTargetWait(long nanos) {
    targetWaits.record(Duration.ofNanos(nanos));
  }

  /** Counts a frame or datagram that was dropped, for example because its request had ended. */
  public void countLateFrame() {
    lateFrames.increment();
  }

  /** Counts a link between nodes that closed itself because of a failure. */
  public void countLinkFailure() {
    linkFailures.increment();
  }

  /**
   * Counts bytes of control traffic, sent or received.
   *
   * @param bytes the number of bytes
   */
  public void addControlBytes(int bytes) {
    controlBytes.increment(bytes);
  }

  /** {@return the number of bytes of control traffic, sent and received} */
  public double controlBytes() {
    return controlBytes.count();
  }

  /** Counts a retry. */
  public void countRetry() {
    retries.increment();
  }

  /** Counts that the source was rolled back to an older copy. */
  public void countSourceRollback() {
    sourceRollbacks.increment();
  }

  /**
   * Registers a gauge, whose value is read on each scrape.
   *
   * @param name the metric's name
   * @param description the help text of the metric
   * @param value provides the value
   * @param tags alternating names and values of tags
   */
  public void registerGauge(
      String name, String description, Supplier<Number> value, String... tags) {
    Gauge.builder(name, value).description(description).tags(tags).register(registry);
  }

  /**
   * Registers a counter, whose value only increases and is read on each scrape.
   *
   * @param name the metric's name
   * @param description the help text of the metric
   * @param value provides the value
   * @param tags alternating names and values of tags
   */
  public void registerCounter(String name, String description, LongSupplier value, String... tags) {
    counterValues.add(value);
    FunctionCounter.builder(name, value, LongSupplier::getAsLong)
        .description(description)
        .tags(tags)
        .register(registry);
  }

  /**
   * Renders all metrics in the text format of Prometheus.
   *
   * @return the text
   */
  public String render() {
    return registry.scrape();
  }
}
