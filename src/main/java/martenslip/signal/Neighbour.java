package martenslip.signal;

import martenslip.control.SwitchLine;
import martenslip.sip.message.SipUri;
import martenslip.sip.transport.Hop;

/** A switch of the list with the place where it is reached. */
public record Neighbour(SwitchLine line, SipUri uri, Hop hop) {}
