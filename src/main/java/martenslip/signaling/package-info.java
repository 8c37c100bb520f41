/**
 * What switches, exchanges and services exchange over SIP: event package bodies, load reports, release causes and
 * extension headers.
 */
package martenslip.signaling;
