/** Settings of a node, read from YAML and checked before anything starts. */
package org.amaranthmoor.daemon.settings;
