package org.amaranthmoor.daemon.exchange;

import java.util.Optional;
import org.amaranthmoor.model.RequestFingerprint;

/**
 * Computes the fingerprints of requests.
 *
 * <p>Of a body that is longer than {@link CallRequest#MAX_PREFIX_BYTES}, only the prefix counts, as
 * the rest is not known before a target gets it. Immutable and safe for use by several threads.
 */
public final class RequestFingerprinter {

  private final Optional<String> callerHeader;

  /**
   * Creates a fingerprinter.
   *
   * @param callerHeader name of the header that identifies the caller, or empty if callers are not
   *     distinguished
   */
  public RequestFingerprinter(Optional<String> callerHeader) {
    this.callerHeader = callerHeader;
  }

  /**
   * Computes the fingerprint of a request.
   *
   * @param request the request
   * @return the fingerprint
   */
  public RequestFingerprint fingerprint(CallRequest request) {
    return RequestFingerprint.of(
        request.method(), request.path(), caller(request), request.bodyPrefix());
  }

  private String caller(CallRequest request) {
    return callerHeader
        .flatMap(
            name ->
                request.headers().stream()
                    .filter(header -> header.name().equalsIgnoreCase(name))
                    .findFirst())
        .map(HeaderField::value)
        .orElse("");
  }
}
