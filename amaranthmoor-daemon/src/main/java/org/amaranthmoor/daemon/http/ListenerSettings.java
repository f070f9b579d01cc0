package org.amaranthmoor.daemon.http;

import java.nio.charset.StandardCharsets;
import java.util.function.Supplier;
import org.amaranthmoor.connection.ConnectionAdmission;
import org.amaranthmoor.daemon.log.ErrorListener;
import org.amaranthmoor.daemon.log.EventLog;
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
 */
public record ListenerSettings(
    String name,
    ConnectionAdmission admission,
    Supplier<ClassicHttpResponse> refusal,
    ErrorListener errors,
    TimeSource time,
    EventLog log) {

  private static final int UNAVAILABLE_STATUS = 503;
  private static final int RETRY_AFTER_SECONDS = 1;

  /**
   * Creates the settings of a port for callers, whose limits follow from the resources of this
   * process.
   *
   * @param refusal creates the response to a connection that is refused
   * @param errors receives the failures that end a connection or an accept
   * @param time the clock
   * @param log receives events
   * @return the settings
   */
  public static ListenerSettings forCallers(
      Supplier<ClassicHttpResponse> refusal, ErrorListener errors, TimeSource time, EventLog log) {
    ConnectionAdmission admission =
        ConnectionAdmission.forCallers(
            Runtime.getRuntime().maxMemory(), ProcessLimits.maxDescriptors());
    return new ListenerSettings("callers", admission, refusal, errors, time, log);
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
}
