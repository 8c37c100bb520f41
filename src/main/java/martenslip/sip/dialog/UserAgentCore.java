package martenslip.sip.dialog;

import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transport.Hop;

/** The user agent core (RFC 3261 6): handles what belongs to no dialog. */
public interface UserAgentCore {
    /** A new INVITE that passed the checks of RFC 3261 8.2. 100 Trying is sent as {@code TransactionTimers} specify. */
    void inviteReceived(UasCall call);

    /** A request outside a call, of a method that is allowed. */
    void requestReceived(ServerTransaction transaction);

    /** A connection has ended or could not be established. */
    void connectionLost(Hop hop, boolean wasEstablished);

    /** Methods that {@link #requestReceived} handles besides those of calls. */
    java.util.Set<String> additionalMethods();
}
