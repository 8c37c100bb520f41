/** SIP endpoint: sockets and the event loop thread that runs transactions and dialogs (RFC 3261). */
package martenslip.sip;
