/** The command line: one class per subcommand. */
package martenslip.cli;
