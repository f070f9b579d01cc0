/**
 * Names, result codes, outcomes and small utilities that all other packages share.
 *
 * <p>Depends on no other package of the project.
 */
package org.amaranthmoor.model;
