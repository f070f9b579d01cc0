/** Services, rules and targets as release notes define them, and the reasons to refuse a note. */
package org.amaranthmoor.config;
