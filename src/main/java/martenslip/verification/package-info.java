/** Checks the rules of the service against the messages captured at the stand-ins' sockets. */
package martenslip.verification;
