package org.amaranthmoor.model;

/**
 * What a target serves. Immutable and safe for use by several threads.
 *
 * @param service the service
 * @param slots requests it runs at once
 */
public record ServedService(ServiceName service, int slots) {}
