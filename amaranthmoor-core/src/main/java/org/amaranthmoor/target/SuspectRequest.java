package org.amaranthmoor.target;

import org.amaranthmoor.model.RequestFingerprint;

/**
 * A request that is or was suspected to crash targets, as nodes exchange it.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param fingerprint the fingerprint of the request
 * @param suspicion the suspicion
 * @param ageMillis time since the suspicion changed, in milliseconds
 */
public record SuspectRequest(RequestFingerprint fingerprint, Suspicion suspicion, long ageMillis) {}
