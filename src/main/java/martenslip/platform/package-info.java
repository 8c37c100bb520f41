/** Runs a controller as a service on the platform: configuration, wiring, signals and log. */
package martenslip.platform;
