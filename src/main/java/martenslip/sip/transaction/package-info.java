/** SIP client and server transactions (RFC 3261 17, RFC 6026). */
package martenslip.sip.transaction;
