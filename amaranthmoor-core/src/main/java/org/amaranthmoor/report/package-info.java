/** Reports for operators: call counts, burn rates of error budgets, and timelines from logs. */
package org.amaranthmoor.report;
