package martenslip.exchange;

import java.util.List;
import martenslip.control.Contact;
import martenslip.control.Controller.ListKind;
import martenslip.control.Span;
import martenslip.signaling.EventPackageCodec;
import martenslip.signaling.ListedSwitch;
import martenslip.signaling.SipLoadReport;
import martenslip.tracking.ContactRegistry;

/**
 * Reports of a lane to the decider. Rings are numbered by the lane, per contact from 0; {@code target} is the id of a
 * switch and {@code farExchange} the number of the exchange that it belongs to, or -1 if unknown.
 */
interface LaneReports {
    /**
     * Offers a new contact. Returns false if the decider has no room for it; the lane then refuses the contact at once.
     */
    boolean contactOffered(Contact contact, int laneNumber);

    /**
     * The first response to a ring arrived: from now on the circuits of the ring are included in the free
     * circuits that the switch reports.
     */
    void firstResponseReceived(long contactId, int ringNumber, int farExchange);

    /** The contact was set up by this ring. */
    void established(long contactId, int ringNumber, long target, Span setupTime, SipLoadReport loadReport);

    /** The ring ended; reported once for each ring. */
    void ringEnded(RingResult result);

    /** The caller left, or the lane abandoned the contact at its answer deadline. */
    void callerGone(long contactId);

    /** All open contacts of the lane, after its thread or that of the decider was replaced. */
    void openContactsReported(int laneNumber, List<ContactRegistry.LaneContact> laneContacts);

    /** A switch list arrived, was loaded from disk or could not be obtained, depending on the kind. */
    void switchListReceived(ListKind kind, List<ListedSwitch> entries);

    /** The state of trunk groups was notified. */
    void groupStatesReceived(List<EventPackageCodec.GroupState> groupStates);

    /** A probe was answered ({@code reached}) or failed. {@code loadReport} is null if there is none. */
    void probeCompleted(long target, boolean reached, Span elapsed, SipLoadReport loadReport);

    /** A note of a peer controller arrived. */
    void peerNoteReceived(int peerNumber, byte[] note);

    /** The outcome of a ring. {@code answered} tells whether the contact already has its final answer. */
    record RingResult(
            long contactId,
            int ringNumber,
            long target,
            int farExchange,
            int width,
            RingOutcome outcome,
            Span elapsed,
            boolean answered,
            SipLoadReport loadReport) {}
}
