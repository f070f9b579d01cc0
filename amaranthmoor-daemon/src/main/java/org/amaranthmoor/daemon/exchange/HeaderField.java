package org.amaranthmoor.daemon.exchange;

/**
 * One HTTP header.
 *
 * <p>Immutable and safe for use by several threads.
 *
 * @param name the name
 * @param value the value
 */
public record HeaderField(String name, String value) {}
