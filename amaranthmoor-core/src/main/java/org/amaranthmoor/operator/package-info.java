/** Release notes, in which operators change services, rules and targets, and their parser. */
package org.amaranthmoor.operator;
