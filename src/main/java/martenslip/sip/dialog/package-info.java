/** INVITE dialogs (RFC 3261 12 to 15) and event subscriptions (RFC 6665). */
package martenslip.sip.dialog;
