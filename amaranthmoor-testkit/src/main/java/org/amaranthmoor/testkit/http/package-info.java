/** What the stand-ins share about HTTP. */
package org.amaranthmoor.testkit.http;
