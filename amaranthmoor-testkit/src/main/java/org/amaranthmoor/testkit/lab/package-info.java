/**
 * Compares policies on the same arrivals and disturbances, with the real decision classes under a
 * clock that only events advance.
 */
package org.amaranthmoor.testkit.lab;
