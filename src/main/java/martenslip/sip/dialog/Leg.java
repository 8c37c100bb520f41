package martenslip.sip.dialog;

import martenslip.sip.message.BadValue;
import martenslip.sip.transaction.ServerTransaction;

/** One side of a call's dialog; takes the requests of the far side. */
sealed interface Leg permits CallIn, CallOut {
    void requested(ServerTransaction next) throws BadValue;
}
