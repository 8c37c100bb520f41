/**
 * The interface between a program and the module that decides, with the types that cross it.
 *
 * <p>A program and its module together keep five rules, which the code cites by number and name:
 *
 * <ol>
 *   <li>Final answer: every accepted contact gets exactly one final answer in time, and no ring after it.
 *   <li>One ring: a contact never has two rings in flight.
 *   <li>Drain: no new ring is sent to a switch once the grace period of its drain is over.
 *   <li>Cold start: a cold switch is never overloaded.
 *   <li>Release time: no ring of a contact is sent within the release time after one that may still hold circuits.
 * </ol>
 */
package martenslip.control;
