package martenslip.exchange;

import java.util.function.IntFunction;
import martenslip.eventloop.EventLoop;
import martenslip.sip.message.Message;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.TransportEvent;
import martenslip.sip.transport.TransportEventSink;

/**
 * Leads what arrives to the lane of its Call-ID, without a lock of its own. At {@link #MOST} waiting a lane takes no
 * more from outside, so that orders and reports from inside find room: datagrams are lost, connections held up.
 */
final class InboundDispatcher implements TransportEventSink {
    /** A quarter of a loop's inbox. */
    static final int MOST = 16_384;

    private final int lanes;
    private IntFunction<EventLoop> loops;
    private DropCounter drops;

    InboundDispatcher(int lanes) {
        this.lanes = lanes;
    }

    /** Before the sockets are opened, as {@link #drops} is. */
    void to(IntFunction<EventLoop> lanesLoops) {
        loops = lanesLoops;
    }

    void drops(DropCounter counts) {
        drops = counts;
    }

    @Override
    public boolean offer(TransportEvent arrival) {
        EventLoop loop = loops.apply(lane(arrival));
        return loop.queueSize() < MOST && loop.offer(arrival);
    }

    @Override
    public void put(TransportEvent arrival) throws InterruptedException {
        if (arrival instanceof TransportEvent.ConnectionLost) {
            for (int i = 0; i < lanes; i++) {
                loops.apply(i).put(arrival, () -> drops.increment("waited for the inbox"));
            }
            return;
        }
        int lane = lane(arrival);
        while (loops.apply(lane).queueSize() >= MOST) {
            drops.increment("waited for the inbox");
            java.util.concurrent.TimeUnit.MILLISECONDS.sleep(5);
        }
        loops.apply(lane).put(arrival, () -> drops.increment("waited for the inbox"));
    }

    private int lane(TransportEvent arrival) {
        Message message = arrival instanceof TransportEvent.MessageReceived received
                ? received.message()
                : arrival instanceof TransportEvent.InvalidRequest wrong ? wrong.request() : null;
        return message == null ? 0 : Lane.of(message.callId(), lanes);
    }
}
