/**
 * Decisions of an entry side on calls: headers, routes, load shedding, retries of failed attempts
 * and the delay after which a refused caller retries.
 */
package org.amaranthmoor.caller;
