/** A stand-in for a target, with fault injection. */
package org.amaranthmoor.testkit.target;
