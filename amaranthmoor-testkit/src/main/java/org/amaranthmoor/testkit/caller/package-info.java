/** A load generator that checks that every answer is whole and its own. */
package org.amaranthmoor.testkit.caller;
