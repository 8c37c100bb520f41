/** Checks routing expectations against the configuration of an exchange by simulating single contacts. */
package martenslip.expect;
