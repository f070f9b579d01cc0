/**
 * What stands in front of one target: admission, the single point of hand-over, and the memory that
 * keeps non-idempotent requests from running twice.
 */
package org.amaranthmoor.target;
