/** Connections from callers, and the parsing and validation of their set-ups. */
package martenslip.platform.caller;
