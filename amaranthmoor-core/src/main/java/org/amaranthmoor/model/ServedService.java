package org.amaranthmoor.model;

/**
 * The service that a target serves, and how many requests it takes.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param service the service
 * @param slots number of requests that the target runs at once
 */
public record ServedService(ServiceName service, int slots) {}
