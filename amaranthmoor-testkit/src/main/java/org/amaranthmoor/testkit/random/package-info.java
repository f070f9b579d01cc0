/**
 * Randomised fault simulation of the production classes for membership, key ownership and the
 * ledger of idempotency keys, with invariants that are checked at each step.
 */
package org.amaranthmoor.testkit.random;
