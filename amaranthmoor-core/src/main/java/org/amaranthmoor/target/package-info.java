/**
 * The node's side towards one target: admission control, the target's health and lifecycle, the
 * hand-over of requests, and the ledgers that keep non-idempotent requests from running twice.
 */
package org.amaranthmoor.target;
