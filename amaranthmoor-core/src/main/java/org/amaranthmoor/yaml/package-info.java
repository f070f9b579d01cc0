/** Reads YAML so that each value and each error has a line. Used for settings and release notes. */
package org.amaranthmoor.yaml;
