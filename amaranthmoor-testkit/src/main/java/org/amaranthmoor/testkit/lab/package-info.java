/**
 * Compares balancing policies on the same arrivals and disturbances in a discrete-event simulation
 * of the production classes.
 */
package org.amaranthmoor.testkit.lab;
