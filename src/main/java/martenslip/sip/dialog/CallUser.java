package martenslip.sip.dialog;

import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transport.Hop;

/** Takes what no dialog takes. */
public interface CallUser {
    /** A new INVITE that passed the checks of RFC 3261 8.2; 100 Trying goes as the timers say. */
    void incoming(CallIn call);

    /** A request outside of any dialog, or of a dialog that is not a call's, of a method that is allowed. */
    void requested(ServerTransaction transaction);

    /** A connection broke. */
    void broken(Hop hop, boolean everUp);

    /** Methods beyond those of calls that {@link #requested} takes. */
    java.util.Set<String> methods();
}
