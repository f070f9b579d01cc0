package org.amaranthmoor.daemon.target;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.amaranthmoor.caller.CallHeaders;
import org.amaranthmoor.daemon.exchange.CallResponse;
import org.amaranthmoor.daemon.exchange.HeaderField;

/**
 * A response that is stored to be replayed when its request is repeated with the same idempotency
 * key.
 *
 * <p>Immutable if its body is not modified; safe for use by several threads.
 *
 * @param status the HTTP status
 * @param headers the headers
 * @param body the whole body
 */
@SuppressWarnings("ArrayRecordComponent")
public record StoredResponse(int status, List<HeaderField> headers, byte[] body) {

  private static final int OVERHEAD_BYTES = 512;

  /** {@return the approximate memory that the response takes, in bytes} */
  public int bytes() {
    return body.length + OVERHEAD_BYTES;
  }

  static Optional<StoredResponse> of(CallResponse response) {
    return response.body() instanceof CallResponse.Body.Buffered buffered
        ? Optional.of(new StoredResponse(response.status(), response.headers(), buffered.bytes()))
        : Optional.empty();
  }

  CallResponse replay() {
    List<HeaderField> marked = new ArrayList<>(headers);
    marked.add(new HeaderField(CallHeaders.REPLAYED, "true"));
    return new CallResponse(
        status, List.copyOf(marked), new CallResponse.Body.Buffered(body), Optional.empty());
  }
}
