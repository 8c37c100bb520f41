/** Bookkeeping of contacts, rings and answer deadlines beside the module; no I/O, threads or clock. */
package martenslip.tracking;
