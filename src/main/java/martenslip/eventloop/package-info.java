/** Event loops with an inbox and a timer wheel, one thread each. */
package martenslip.eventloop;
