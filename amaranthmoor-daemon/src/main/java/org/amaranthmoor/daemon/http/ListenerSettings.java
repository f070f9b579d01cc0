package org.amaranthmoor.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.amaranthmoor.connection.ClientLimits;
import org.amaranthmoor.connection.ConnectionAdmission;
import org.amaranthmoor.connection.UnfinishedRequests;
import org.amaranthmoor.daemon.log.ErrorListener;
import org.amaranthmoor.daemon.log.EventLog;
import org.amaranthmoor.model.ByteBudget;
import org.amaranthmoor.model.TimeSource;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.io.entity.ByteArrayEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpResponse;

/**
 * Settings of a listener. Immutable and safe for use by several threads.
 *
 * @param name name of the port in events and metrics
 * @param admission limits of the port's connections
 * @param refusal creates the response to a connection that is refused, which states that no request
 *     of it was or will be run
 * @param errors receives the failures that end a connection or an accept
 * @param time the clock
 * @param log receives events
 * @param limits the present limits of clients
 * @param unfinished the account of what unfinished requests hold
 */
public record ListenerSettings(
    String name,
    ConnectionAdmission admission,
    Supplier<ClassicHttpResponse> refusal,
    ErrorListener errors,
    TimeSource time,
    EventLog log,
    Supplier<ClientLimits> limits,
    UnfinishedRequests unfinished) {

  /** Share of the heap that the unfinished requests of a control port may hold. */
  private static final int CONTROL_HEAP_DIVISOR = 50;

  private static final int UNAVAILABLE_STATUS = 503;
  private static final int RETRY_AFTER_SECONDS = 1;

  /**
   * Creates settings without a configuration, with an account of the port's own.
   *
   * @param name name of the port in events and metrics
   * @param admission limits of the port's connections
   * @param refusal creates the response to a connection that is refused
   * @param errors receives the failures that end a connection or an accept
   * @param time the clock
   * @param log receives events
   */
  public ListenerSettings(
      String name,
      ConnectionAdmission admission,
      Supplier<ClassicHttpResponse> refusal,
      ErrorListener errors,
      TimeSource time,
      EventLog log) {
    this(
        name,
        admission,
        refusal,
        errors,
        time,
        log,
        () -> ClientLimits.DEFAULT,
        new UnfinishedRequests(
            new ByteBudget(Runtime.getRuntime().maxMemory() / CONTROL_HEAP_DIVISOR)));
  }

  /**
   * Creates the settings of a port for callers, whose limits follow from the resources of this
   * process.
   *
   * @param refusal creates the response to a connection that is refused
   * @param errors receives the failures that end a connection or an accept
   * @param time the clock
   * @param log receives events
   * @param limits the present limits of clients
   * @param unfinished the account of what unfinished requests hold
   * @return the settings
   */
  public static ListenerSettings forCallers(
      Supplier<ClassicHttpResponse> refusal,
      ErrorListener errors,
      TimeSource time,
      EventLog log,
      Supplier<ClientLimits> limits,
      UnfinishedRequests unfinished) {
    ConnectionAdmission admission =
        ConnectionAdmission.forCallers(
            Runtime.getRuntime().maxMemory(), ProcessLimits.maxDescriptors());
    return new ListenerSettings(
        "callers", admission, refusal, errors, time, log, limits, unfinished);
  }

  /**
   * Creates the settings of a port for reports, readiness checks, metrics or operators.
   *
   * @param name name of the port in events and metrics
   * @param errors receives the failures that end a connection or an accept
   * @param time the clock
   * @param log receives events
   * @return the settings
   */
  public static ListenerSettings forControl(
      String name, ErrorListener errors, TimeSource time, EventLog log) {
    ConnectionAdmission admission =
        ConnectionAdmission.forControl(Runtime.getRuntime().maxMemory());
    return new ListenerSettings(name, admission, ListenerSettings::unavailable, errors, time, log);
  }

  /** {@return a response that states that the port has too many connections} */
  static ClassicHttpResponse unavailable() {
    ClassicHttpResponse response = new BasicClassicHttpResponse(UNAVAILABLE_STATUS);
    response.setHeader("Retry-After", Integer.toString(RETRY_AFTER_SECONDS));
    byte[] text = "too many connections\n".getBytes(StandardCharsets.US_ASCII);
    response.setEntity(new ByteArrayEntity(text, ContentType.TEXT_PLAIN));
    return response;
  }

  /** {@return a response to a request that exceeds a limit} */
  static ClassicHttpResponse limitExceeded(RefusedRequestException.Reason reason) {
    ClassicHttpResponse response = new BasicClassicHttpResponse(reason.status());
    byte[] text = (reason.label() + "\n").getBytes(StandardCharsets.US_ASCII);
    response.setEntity(new ByteArrayEntity(text, ContentType.TEXT_PLAIN));
    return response;
  }
}
