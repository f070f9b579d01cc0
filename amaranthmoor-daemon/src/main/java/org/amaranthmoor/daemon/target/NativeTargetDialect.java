package org.amaranthmoor.daemon.target;

import java.util.Optional;
import java.util.OptionalDouble;
import java.util.OptionalLong;
import org.amaranthmoor.caller.CallHeaders;
import org.amaranthmoor.daemon.exchange.CallRequest;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.target.TargetNotice;
import org.amaranthmoor.target.TargetRun;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpResponse;

/**
 * The project's own HTTP interface for targets, as documented in the user guide.
 *
 * <p>Stateless and safe for use by several threads.
 */
public final class NativeTargetDialect implements TargetDialect {

  private static final int UNAVAILABLE = 503;

  /** Creates the dialect. */
  public NativeTargetDialect() {}

  @Override
  public void addCallHeaders(
      HttpMessage http, CallRequest request, Optional<TargetRun> run, long nanosLeft) {
    http.setHeader(CallHeaders.TIMEOUT, CallHeaders.formatTimeout(nanosLeft));
    http.setHeader(CallHeaders.ATTEMPT, Integer.toString(request.attempt()));
  }

  // Targets whose contract includes this header send it when they refuse a request without running
  // it.
  @Override
  public Classification classify(
      CallRequest request, HttpResponse response, boolean keptConnection) {
    Header mark = response.getFirstHeader(CallHeaders.TARGET_REFUSED);
    boolean refused =
        response.getCode() == UNAVAILABLE && mark != null && mark.getValue().equals("not-run");
    return refused
        ? new Classification.NotRun(ResultCode.TARGET_SHED, false)
        : new Classification.Valid();
  }

  @Override
  public boolean isHealthCheckResponse(HttpResponse response) {
    return true;
  }

  @Override
  public OptionalDouble slowdown(HttpResponse response) {
    return OptionalDouble.empty();
  }

  @Override
  public HealthReport healthReport(HttpResponse response) {
    return new HealthReport(OptionalDouble.empty(), OptionalLong.empty());
  }

  @Override
  public boolean confirmsRun(HttpResponse response, TargetRun run) {
    return false;
  }

  @Override
  public TargetNotice notice(HttpResponse response) {
    return TargetNotice.NONE;
  }

  @Override
  public Optional<String> callerHeader() {
    return Optional.empty();
  }
}
