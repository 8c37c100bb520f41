/** Stand-ins (test doubles) for callers, switches, the network and the directory service around the controllers. */
package martenslip.standin;
