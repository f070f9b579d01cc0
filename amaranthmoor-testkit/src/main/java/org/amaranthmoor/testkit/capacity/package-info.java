/** Measures how the cost of gossip, of folding the log and of checkpoints grows with the system. */
package org.amaranthmoor.testkit.capacity;
