package org.amaranthmoor.config;

import java.util.List;
import org.amaranthmoor.model.NoteId;
import org.amaranthmoor.model.RuleName;
import org.amaranthmoor.model.ServiceName;

/**
 * A rule that routes requests to a service, as accepted release notes define it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the rule
 * @param revision the note that last changed it
 * @param service the service that matching requests are routed to
 * @param pathPrefix prefix of the path, starting with a slash
 * @param host the value of the Host header that requests must have, or an empty text for any
 * @param calls the kinds of calls; the first one that matches applies
 */
public record RuleSpec(
    RuleName name,
    NoteId revision,
    ServiceName service,
    String pathPrefix,
    String host,
    List<CallKind> calls) {

  /** Copies the kinds of calls. */
  public RuleSpec {
    calls = List.copyOf(calls);
  }
}
