/** A stand-in for the platform's append-only log. */
package org.amaranthmoor.testkit.platform;
