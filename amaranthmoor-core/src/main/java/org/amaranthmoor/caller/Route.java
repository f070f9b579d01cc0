package org.amaranthmoor.caller;

import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.RuleName;

/**
 * Where one request is routed to, and how it is treated.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param rule the rule that matched
 * @param service the service the request goes to
 * @param idempotent whether the request may be run again
 * @param priority order in which it gets a slot
 * @param defaultDeadlineMillis deadline if the caller states none, in milliseconds
 * @param maxTimeoutMillis longest time the caller is kept waiting, whatever it states, in
 *     milliseconds
 * @param objectiveMillis time within which an answer counts as in time, in milliseconds
 * @param maxAttempts most targets that one request may be sent to, at least 1
 * @param open whether callers need no key of a team
 */
public record Route(
    RuleName rule,
    ServiceSpec service,
    boolean idempotent,
    Priority priority,
    int defaultDeadlineMillis,
    int maxTimeoutMillis,
    int objectiveMillis,
    int maxAttempts,
    boolean open) {}
