package martenslip.exchange;

import java.util.function.Consumer;
import martenslip.control.Span;
import martenslip.signaling.ListedSwitch;

/** Passes each command to the lane that has the contact; commands without a contact go to the first lane. */
final class LaneCommandDispatcher implements LaneCommands {
    /** Carries a command to a lane. */
    interface Channel {
        void toContacts(int laneNumber, Consumer<Contacts> command);

        /** To the network monitor of the first lane. */
        void toNetworkMonitor(Consumer<NetworkMonitor> command);
    }

    private final int laneCount;
    private final Channel channel;

    LaneCommandDispatcher(int laneCount, Channel channel) {
        this.laneCount = laneCount;
        this.channel = channel;
    }

    private void pass(long contactId, Consumer<Contacts> command) {
        channel.toContacts(HandoverStore.laneOf(contactId, laneCount), command);
    }

    @Override
    public void ring(long contactId, RingCommand command) {
        pass(contactId, lane -> lane.ring(contactId, command));
    }

    @Override
    public void cancel(long contactId, int ringNumber) {
        pass(contactId, lane -> lane.cancel(contactId, ringNumber));
    }

    @Override
    public void defer(long contactId, Span retryAfter) {
        pass(contactId, lane -> lane.defer(contactId, retryAfter));
    }

    @Override
    public void abandon(long contactId) {
        pass(contactId, lane -> lane.abandon(contactId));
    }

    @Override
    public void probe(ListedSwitch listedSwitch) {
        channel.toNetworkMonitor(networkMonitor -> networkMonitor.probe(listedSwitch));
    }

    @Override
    public void sendNote(int peerNumber, byte[] note) {
        channel.toNetworkMonitor(networkMonitor -> networkMonitor.sendNote(peerNumber, note));
    }

    @Override
    public void watchSwitchList(boolean enabled) {
        channel.toNetworkMonitor(networkMonitor -> networkMonitor.watchSwitchList(enabled));
    }
}
