/** The routing policy: the module that makes every routing decision of an exchange. */
package martenslip;
