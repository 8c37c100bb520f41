package martenslip.sip.dialog;

import martenslip.sip.message.InvalidValueException;
import martenslip.sip.transaction.ServerTransaction;

/** One side of a call's dialog; handles requests of the remote side within the dialog. */
sealed interface CallLeg permits UasCall, UacCall {
    void requestReceived(ServerTransaction requestTransaction) throws InvalidValueException;
}
