package martenslip.exchange;

import java.util.List;
import java.util.function.Consumer;
import martenslip.control.Contact;
import martenslip.control.Controller.ListKind;
import martenslip.control.Span;
import martenslip.signaling.EventPackageCodec;
import martenslip.signaling.ListedSwitch;
import martenslip.signaling.SipLoadReport;
import martenslip.tracking.ContactRegistry;

/**
 * Passes the reports of a lane to the decider: by a direct call if both share a thread, else through the inbox of the
 * decider.
 */
final class LaneReportDispatcher implements LaneReports {
    /** Carries a report to the decider. */
    interface Channel {
        /**
         * Returns false if the report was not passed on. Reports that may be refused must leave room in the inbox for
         * the others.
         */
        boolean pass(Consumer<Decider> report, boolean mayBeRefused);
    }

    private final Channel channel;

    LaneReportDispatcher(Channel channel) {
        this.channel = channel;
    }

    private void pass(Consumer<Decider> report) {
        channel.pass(report, false);
    }

    @Override
    public boolean contactOffered(Contact contact, int laneNumber) {
        return channel.pass(decider -> decider.contactOffered(contact, laneNumber), true);
    }

    @Override
    public void firstResponseReceived(long contactId, int ringNumber, int farExchange) {
        pass(decider -> decider.firstResponseReceived(contactId, ringNumber, farExchange));
    }

    @Override
    public void established(long contactId, int ringNumber, long target, Span setupTime, SipLoadReport loadReport) {
        pass(decider -> decider.established(contactId, ringNumber, target, setupTime, loadReport));
    }

    @Override
    public void ringEnded(RingResult result) {
        pass(decider -> decider.ringEnded(result));
    }

    @Override
    public void callerGone(long contactId) {
        pass(decider -> decider.callerGone(contactId));
    }

    @Override
    public void openContactsReported(int laneNumber, List<ContactRegistry.LaneContact> laneContacts) {
        pass(decider -> decider.openContactsReported(laneNumber, laneContacts));
    }

    @Override
    public void switchListReceived(ListKind kind, List<ListedSwitch> entries) {
        pass(decider -> decider.switchListReceived(kind, entries));
    }

    @Override
    public void groupStatesReceived(List<EventPackageCodec.GroupState> groupStates) {
        pass(decider -> decider.groupStatesReceived(groupStates));
    }

    @Override
    public void probeCompleted(long target, boolean reached, Span elapsed, SipLoadReport loadReport) {
        pass(decider -> decider.probeCompleted(target, reached, elapsed, loadReport));
    }

    @Override
    public void peerNoteReceived(int peerNumber, byte[] note) {
        pass(decider -> decider.peerNoteReceived(peerNumber, note));
    }
}
