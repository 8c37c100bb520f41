/** Client of the journal service, which publishes the switch list as server-sent events. */
package martenslip.platform.journal;
