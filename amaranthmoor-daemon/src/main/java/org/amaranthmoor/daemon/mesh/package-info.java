/**
 * A node of a deployment that an operator configures with whole documents and whose targets report
 * to the node beside them.
 */
package org.amaranthmoor.daemon.mesh;
