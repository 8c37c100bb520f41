package martenslip.signaling;

import martenslip.control.SwitchEntry;
import martenslip.sip.message.SipUri;
import martenslip.sip.transport.Hop;

/** An entry of the switch list with the address of the switch. */
public record ListedSwitch(SwitchEntry entry, SipUri uri, Hop hop) {}
