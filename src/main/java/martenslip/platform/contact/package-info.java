/**
 * Tracks the contacts of a controller on the platform between its callers, its switches and the routing module. All
 * state belongs to one thread, the decision thread.
 */
package martenslip.platform.contact;
