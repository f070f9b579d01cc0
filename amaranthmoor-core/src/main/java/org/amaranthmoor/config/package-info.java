/**
 * Services, rules and targets as release notes define them, and the reasons for refusing a note.
 */
package org.amaranthmoor.config;
