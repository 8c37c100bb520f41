/** Parsing of JSON and of the addresses in it. */
package martenslip.platform.json;
