/** An HTTP caller, and load generators that check responses and measure latencies. */
package org.amaranthmoor.testkit.caller;
