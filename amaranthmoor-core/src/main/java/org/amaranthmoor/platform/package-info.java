/**
 * Records in the platform's append-only log, the cluster state derived from them, and checkpoints
 * of that state.
 */
package org.amaranthmoor.platform;
