/** A whole deployment in one process, for tests of programs that embed or call the system. */
package org.amaranthmoor.testkit.deployment;
