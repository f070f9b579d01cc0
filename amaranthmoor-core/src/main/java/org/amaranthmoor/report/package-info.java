/** What operators read: counts of calls over windows and the burn of service-level objectives. */
package org.amaranthmoor.report;
