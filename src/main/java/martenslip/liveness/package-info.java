/** Detection of switches that disappeared without closing their connections; no I/O, threads or clock. */
package martenslip.liveness;
