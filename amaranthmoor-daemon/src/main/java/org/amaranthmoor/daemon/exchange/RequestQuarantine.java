package org.amaranthmoor.daemon.exchange;

import java.util.Optional;
import java.util.OptionalLong;
import org.amaranthmoor.model.Outcome;
import org.amaranthmoor.model.RequestFingerprint;
import org.amaranthmoor.model.ResultCode;
import org.amaranthmoor.model.TimeSource;
import org.amaranthmoor.target.CrashLedger;
import org.amaranthmoor.target.SuspectRequest;
import org.amaranthmoor.target.Suspicion;

/**
 * Looks up requests in the crash ledger, and refuses those that are quarantined.
 *
 * <p>Safe for use by several threads.
 */
public final class RequestQuarantine {

  private final CrashLedger ledger;
  private final RequestFingerprinter fingerprinter;
  private final TimeSource time;

  /**
   * Creates a quarantine.
   *
   * @param ledger the ledger
   * @param fingerprinter computes fingerprints
   * @param time the clock
   */
  public RequestQuarantine(
      CrashLedger ledger, RequestFingerprinter fingerprinter, TimeSource time) {
    this.ledger = ledger;
    this.fingerprinter = fingerprinter;
    this.time = time;
  }

  /**
   * Refuses a request that must reach no target.
   *
   * @param request the request
   * @return the refusal, with the remaining time of the quarantine, or empty if the request may be
   *     handed over
   */
  public Optional<Outcome.NotRun<CallResponse>> refusal(CallRequest request) {
    OptionalLong leftMillis =
        ledger.quarantineLeftMillis(
            request.path(), () -> fingerprinter.fingerprint(request), time.nanos());
    return leftMillis.isEmpty()
        ? Optional.empty()
        : Optional.of(
            new Outcome.NotRun<>(
                ResultCode.REQUEST_QUARANTINED,
                leftMillis.getAsLong(),
                "targets crashed when they ran such a request"));
  }

  /**
   * Returns the suspicion against a request.
   *
   * @param request the request
   * @return the suspicion
   */
  public Suspicion suspicion(CallRequest request) {
    return ledger.suspicion(request.path(), () -> fingerprinter.fingerprint(request), time.nanos());
  }

  /**
   * Returns a request as it is passed on to another node.
   *
   * @param request the request
   * @return the request with the suspicion against it, or empty if nothing is known of it
   */
  public Optional<SuspectRequest> suspect(CallRequest request) {
    return ledger.suspect(request.path(), () -> fingerprinter.fingerprint(request), time.nanos());
  }

  /**
   * Records that a target crashed with a request in progress.
   *
   * @param request the request
   * @param atHandOver the suspicion against it when it was handed over
   * @return the request with its new suspicion
   */
  public SuspectRequest onCrash(CallRequest request, Suspicion atHandOver) {
    return ledger.onCrash(fingerprinter.fingerprint(request), atHandOver, time.nanos());
  }

  /**
   * Records that a target has answered a request.
   *
   * @param request the request
   * @return whether the request was quarantined
   */
  public boolean onAnswered(CallRequest request) {
    return ledger.onAnswered(
        request.path(), () -> fingerprinter.fingerprint(request), time.nanos());
  }

  /**
   * Returns the fingerprint of a request.
   *
   * @param request the request
   * @return the fingerprint
   */
  public RequestFingerprint fingerprint(CallRequest request) {
    return fingerprinter.fingerprint(request);
  }
}
