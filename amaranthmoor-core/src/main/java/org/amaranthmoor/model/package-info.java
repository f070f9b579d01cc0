/**
 * Ids, result codes and outcomes that every other package shares.
 *
 * <p>Depends on nothing else of the project.
 */
package org.amaranthmoor.model;
