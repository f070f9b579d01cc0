package org.amaranthmoor.testkit.caller;

import java.util.List;

/**
 * One kind of call in the mix of a load generator.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the kind's name in reports
 * @param method the HTTP method
 * @param path the path
 * @param bodyBytes length of the request's body, in bytes
 * @param keyed whether each call carries an idempotency key
 * @param weight relative frequency in the mix
 */
public record CallTemplate(
    String name, String method, String path, int bodyBytes, boolean keyed, int weight) {

  /** {@return the mix of calls that the Collective's members and volunteers make} */
  public static List<CallTemplate> collective() {
    return List.of(
        new CallTemplate("catalogue", "GET", "/lending/catalogue/pages/7", 0, false, 12),
        new CallTemplate("large-page", "GET", "/lending/catalogue/large/200000", 0, false, 1),
        new CallTemplate("reservation", "POST", "/lending/reservations", 200, true, 4),
        new CallTemplate("upload", "PUT", "/production/uploads/42", 300_000, false, 2),
        new CallTemplate("waiver", "POST", "/production/waivers", 100, true, 2));
  }
}
