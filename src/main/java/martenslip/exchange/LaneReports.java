package martenslip.exchange;

import java.util.List;
import martenslip.control.Contact;
import martenslip.control.Controller.ListKind;
import martenslip.control.Span;
import martenslip.signaling.EventPackageCodec;
import martenslip.signaling.ListedSwitch;
import martenslip.signaling.SipLoadReport;
import martenslip.tracking.ContactRegistry;

/** What lanes tell the decider. Rings bear the lane's numbers. */
interface LaneReports {
    /** False where no more can be taken: the contact is then refused at once. */
    boolean offered(Contact contact, int lane);

    /** The switch has said the first of a ring: it now counts among what the switch tells of its circuits. */
    void heard(long contact, int ring, int far);

    void stood(long contact, int ring, long target, Span took, SipLoadReport load);

    void ringOver(RingResult over);

    /** The caller is gone, or the lane had the last word. */
    void gone(long contact);

    /** All that the lane holds, after its thread or the decider's was replaced. */
    void inherited(int lane, List<ContactRegistry.LaneContact> held);

    void listed(ListKind kind, List<ListedSwitch> lines);

    void circuits(List<EventPackageCodec.GroupState> groups);

    void probed(long target, boolean reached, Span took, SipLoadReport load);

    void noted(int peer, byte[] note);

    /** The one outcome of a ring. */
    record RingResult(
            long contact,
            int ring,
            long target,
            int far,
            int width,
            RingOutcome outcome,
            Span took,
            boolean answered,
            SipLoadReport load) {}
}
