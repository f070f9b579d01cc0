/**
 * Chooses the server of a call: load statistics, picking policies, ejection and the budget of
 * probes.
 */
package org.amaranthmoor.balance;
