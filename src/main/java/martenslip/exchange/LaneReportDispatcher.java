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

/** Reports on their way to the decider: at once on its own thread, or through its inbox. */
final class LaneReportDispatcher implements LaneReports {
    interface Channel {
        /** False where it was not passed; what is {@code refusable} must leave room for what is not. */
        boolean pass(Consumer<Decider> report, boolean refusable);
    }

    private final Channel way;

    LaneReportDispatcher(Channel way) {
        this.way = way;
    }

    private void pass(Consumer<Decider> report) {
        way.pass(report, false);
    }

    @Override
    public boolean offered(Contact contact, int lane) {
        return way.pass(decider -> decider.offered(contact, lane), true);
    }

    @Override
    public void heard(long contact, int ring, int far) {
        pass(decider -> decider.heard(contact, ring, far));
    }

    @Override
    public void stood(long contact, int ring, long target, Span took, SipLoadReport load) {
        pass(decider -> decider.stood(contact, ring, target, took, load));
    }

    @Override
    public void ringOver(RingResult over) {
        pass(decider -> decider.ringOver(over));
    }

    @Override
    public void gone(long contact) {
        pass(decider -> decider.gone(contact));
    }

    @Override
    public void inherited(int lane, List<ContactRegistry.LaneContact> held) {
        pass(decider -> decider.inherited(lane, held));
    }

    @Override
    public void listed(ListKind kind, List<ListedSwitch> lines) {
        pass(decider -> decider.listed(kind, lines));
    }

    @Override
    public void circuits(List<EventPackageCodec.GroupState> groups) {
        pass(decider -> decider.circuits(groups));
    }

    @Override
    public void probed(long target, boolean reached, Span took, SipLoadReport load) {
        pass(decider -> decider.probed(target, reached, took, load));
    }

    @Override
    public void noted(int peer, byte[] note) {
        pass(decider -> decider.noted(peer, note));
    }
}
