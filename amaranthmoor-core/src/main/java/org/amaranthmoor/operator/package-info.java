/** What operators write: release notes, and how they are read. */
package org.amaranthmoor.operator;
