/** A stand-in for a target with slots. */
package org.amaranthmoor.testkit.target;
