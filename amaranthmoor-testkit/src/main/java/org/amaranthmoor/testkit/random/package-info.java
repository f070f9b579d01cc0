/**
 * Long randomised runs of the real decision classes under faults, with invariants asserted at each
 * step.
 */
package org.amaranthmoor.testkit.random;
