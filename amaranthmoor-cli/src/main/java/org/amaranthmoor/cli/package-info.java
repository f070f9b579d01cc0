/**
 * Command line that runs nodes, operator commands, stand-ins of test environments and measurements.
 */
package org.amaranthmoor.cli;
