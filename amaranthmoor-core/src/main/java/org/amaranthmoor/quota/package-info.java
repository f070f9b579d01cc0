/**
 * Quotas of teams over all nodes: the owner that grants tokens, and the tokens of an entry side.
 */
package org.amaranthmoor.quota;
