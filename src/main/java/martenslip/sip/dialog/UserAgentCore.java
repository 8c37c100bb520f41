package martenslip.sip.dialog;

import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transport.Hop;

/** Takes what no dialog takes. */
public interface UserAgentCore {
    /** A new INVITE that passed the checks of RFC 3261 8.2; 100 Trying goes as the timers say. */
    void inviteReceived(UasCall call);

    /** A request outside of any dialog, or of a dialog that is not a call's, of a method that is allowed. */
    void requestReceived(ServerTransaction transaction);

    /** A connection broke. */
    void connectionLost(Hop hop, boolean everUp);

    /** Methods beyond those of calls that {@link #requestReceived} takes. */
    java.util.Set<String> additionalMethods();
}
