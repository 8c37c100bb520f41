/** Reads an exchange's XML file, validates it against its schema and checks references between its parts. */
package martenslip.configuration;
