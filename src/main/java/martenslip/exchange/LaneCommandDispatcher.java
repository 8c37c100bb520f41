package martenslip.exchange;

import java.util.function.Consumer;
import martenslip.control.Span;
import martenslip.signaling.ListedSwitch;

/** Orders on their way to the lane that has the contact; what is about no contact is the first lane's. */
final class LaneCommandDispatcher implements LaneCommands {
    interface Channel {
        void toContacts(int lane, Consumer<Contacts> order);

        /** To those of the first lane. */
        void toSurroundings(Consumer<NetworkMonitor> order);
    }

    private final int lanes;
    private final Channel way;

    LaneCommandDispatcher(int lanes, Channel way) {
        this.lanes = lanes;
        this.way = way;
    }

    private void pass(long contact, Consumer<Contacts> order) {
        way.toContacts(HandoverStore.laneOf(contact, lanes), order);
    }

    @Override
    public void ring(long contact, RingCommand send) {
        pass(contact, lane -> lane.ring(contact, send));
    }

    @Override
    public void callOff(long contact, int ring) {
        pass(contact, lane -> lane.callOff(contact, ring));
    }

    @Override
    public void defer(long contact, Span comeBack) {
        pass(contact, lane -> lane.defer(contact, comeBack));
    }

    @Override
    public void abandon(long contact) {
        pass(contact, lane -> lane.abandon(contact));
    }

    @Override
    public void probe(ListedSwitch to) {
        way.toSurroundings(around -> around.probe(to));
    }

    @Override
    public void note(int peer, byte[] note) {
        way.toSurroundings(around -> around.note(peer, note));
    }

    @Override
    public void watchList(boolean on) {
        way.toSurroundings(around -> around.watchList(on));
    }
}
