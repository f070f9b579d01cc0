package org.amaranthmoor.caller;

import org.amaranthmoor.config.ServiceSpec;
import org.amaranthmoor.model.Priority;
import org.amaranthmoor.model.RuleName;

/**
 * How one request is to be treated.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param rule the rule that matched
 * @param service the service the request goes to
 * @param idempotent whether the request may be run again
 * @param priority order in which it gets a slot
 * @param defaultDeadlineMillis deadline if the caller states none, in milliseconds
 */
public record Route(
    RuleName rule,
    ServiceSpec service,
    boolean idempotent,
    Priority priority,
    int defaultDeadlineMillis) {}
