/**
 * A discrete-event simulation of a mesh of nodes under load.
 *
 * <p>It runs the production classes for load shedding, attempt plans and admission of entry and
 * target sides. Targets are simulated, with slow phases caused by noisy neighbours, cold starts and
 * stated rate limits.
 */
package org.amaranthmoor.testkit.mesh;
