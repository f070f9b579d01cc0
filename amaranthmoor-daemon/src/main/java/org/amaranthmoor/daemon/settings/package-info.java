/** Settings of a node, read from YAML and validated before the node starts. */
package org.amaranthmoor.daemon.settings;
