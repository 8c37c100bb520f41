/** Detection of stalled threads; no I/O, threads or clock. */
package martenslip.watchdog;
