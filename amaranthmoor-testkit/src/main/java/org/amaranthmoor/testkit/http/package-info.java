/** HTTP utilities that the stand-ins share. */
package org.amaranthmoor.testkit.http;
