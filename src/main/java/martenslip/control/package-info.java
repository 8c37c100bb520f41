/** The interface between a program and the module that decides, with the types that cross it. */
package martenslip.control;
