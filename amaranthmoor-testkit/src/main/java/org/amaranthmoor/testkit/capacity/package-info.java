/** Measures how membership, fold and checkpoints grow with the size of the system. */
package org.amaranthmoor.testkit.capacity;
