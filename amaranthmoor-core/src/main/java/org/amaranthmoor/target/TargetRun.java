package org.amaranthmoor.target;

/**
 * One run of a target's process, as the target identifies itself.
 *
 * <p>Runs are ordered by start time; the id distinguishes runs that started in the same
 * millisecond. Immutable and safe for use by several threads.
 *
 * @param id the id by which the target checks that a request is meant for it
 * @param startedMillis start time in milliseconds since the epoch by the target's clock; 0 if the
 *     target does not state it
 */
public record TargetRun(String id, long startedMillis) {}
