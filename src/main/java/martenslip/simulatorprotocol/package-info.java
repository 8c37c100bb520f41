/** The binary protocol through which a simulator drives controllers on standard input and output. */
package martenslip.simulatorprotocol;
