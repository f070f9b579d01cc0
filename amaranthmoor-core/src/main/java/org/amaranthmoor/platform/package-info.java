/**
 * What the system keeps in the platform's append-only log: the records, the state folded from them,
 * and its checkpoints.
 */
package org.amaranthmoor.platform;
