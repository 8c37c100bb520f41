package martenslip.exchange;

import java.util.ArrayList;
import java.util.List;
import martenslip.control.Blame;
import martenslip.control.Contact;
import martenslip.control.Moment;
import martenslip.sip.dialog.CallIn;

/** A contact that was taken: its caller's leg and its rings, of which the last alone may be out. */
final class Taken {
    final Contact contact;
    final CallIn caller;
    final String number;
    final Moment at;
    final List<Ring> rings = new ArrayList<>(2);
    /** The final answer has been given, by whichever side. */
    boolean answered;
    /** Why the last ring ended, for a tandem to pass on. */
    Blame last = Blame.NONE;

    Taken(Contact contact, CallIn caller, String number, Moment at) {
        this.contact = contact;
        this.caller = caller;
        this.number = number;
        this.at = at;
    }

    Ring ring(int number) {
        return number >= 0 && number < rings.size() ? rings.get(number) : null;
    }

    /** The ring that is out or stands, or null. */
    Ring live() {
        Ring last = rings.isEmpty() ? null : rings.get(rings.size() - 1);
        return last == null || last.told ? null : last;
    }
}
