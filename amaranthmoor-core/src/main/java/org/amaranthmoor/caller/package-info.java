/**
 * What callers say and are told: calls, the headers that describe them, routes, and when a failed
 * attempt is retried.
 */
package org.amaranthmoor.caller;
