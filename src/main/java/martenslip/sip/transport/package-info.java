/** SIP transport: UDP and TCP sockets, stream framing and connection handling (RFC 3261 18). */
package martenslip.sip.transport;
