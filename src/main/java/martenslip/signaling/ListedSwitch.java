package martenslip.signaling;

import martenslip.control.SwitchEntry;
import martenslip.sip.message.SipUri;
import martenslip.sip.transport.Hop;

/** A switch of the list with the place where it is reached. */
public record ListedSwitch(SwitchEntry entry, SipUri uri, Hop hop) {}
