package org.amaranthmoor.target;

/**
 * One run of a target's process, as the target names itself.
 *
 * <p>Runs are ordered by their start; the id tells runs apart that started in the same millisecond.
 * Immutable and safe for use by several threads.
 *
 * @param id the id by which the target checks that a request is meant for it
 * @param startedMillis when the run started, in milliseconds since the epoch by the target's clock;
 *     0 if the target does not say so
 */
public record TargetRun(String id, long startedMillis) {}
