/** Runs scripted days and benchmarks: controllers as separate processes against stand-ins in this process. */
package martenslip.scenario;
