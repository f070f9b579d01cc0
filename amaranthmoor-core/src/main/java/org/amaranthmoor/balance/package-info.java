/**
 * Chooses the server of a call: load statistics, load balancing policies, the plan of attempts,
 * ejection and the budget of probes.
 */
package org.amaranthmoor.balance;
