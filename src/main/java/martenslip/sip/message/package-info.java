/** SIP messages: parsing, typed header values and serialization (RFC 3261 7, 19, 20, 25). */
package martenslip.sip.message;
