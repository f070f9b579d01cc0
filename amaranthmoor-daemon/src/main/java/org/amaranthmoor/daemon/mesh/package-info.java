/**
 * A node of a mesh: the operator configures it with complete documents, nodes find each other
 * through shared records and gossip, and each target reports to the node beside it.
 */
package org.amaranthmoor.daemon.mesh;
