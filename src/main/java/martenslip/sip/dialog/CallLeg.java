package martenslip.sip.dialog;

import martenslip.sip.message.InvalidValueException;
import martenslip.sip.transaction.ServerTransaction;

/** One side of a call's dialog; takes the requests of the far side. */
sealed interface CallLeg permits UasCall, UacCall {
    void requestReceived(ServerTransaction next) throws InvalidValueException;
}
