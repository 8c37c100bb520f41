/** One exchange: SIP lanes, the decider that runs the controller, and the takeover of stalled threads. */
package martenslip.exchange;
