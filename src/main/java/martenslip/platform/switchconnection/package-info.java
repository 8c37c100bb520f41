/** Connections to the switches, and their JSON messages and load reports. */
package martenslip.platform.switchconnection;
