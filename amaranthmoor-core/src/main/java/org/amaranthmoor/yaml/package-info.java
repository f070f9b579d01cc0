/**
 * Parser of YAML and JSON that keeps the line of each value, so that problems in settings and
 * release notes are reported with their line.
 */
package org.amaranthmoor.yaml;
