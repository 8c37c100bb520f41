package martenslip.exchange;

import java.util.function.IntFunction;
import martenslip.eventloop.EventLoop;
import martenslip.sip.message.Message;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.TransportEvent;
import martenslip.sip.transport.TransportEventSink;

/**
 * Dispatches transport events to the lane of their Call-ID, without a lock of its own. A lane with {@link
 * #MAX_QUEUED_ARRIVALS} waiting tasks accepts no more from outside, so that internal commands and reports find room:
 * datagrams are dropped, and reading from connections waits.
 */
final class InboundDispatcher implements TransportEventSink {
    /** A quarter of the inbox of an event loop. */
    static final int MAX_QUEUED_ARRIVALS = 16_384;

    private final int laneCount;
    private IntFunction<EventLoop> laneLoops;
    private DropCounter dropCounter;

    InboundDispatcher(int laneCount) {
        this.laneCount = laneCount;
    }

    /** Must be called before the sockets are opened, as must {@link #setDropCounter}. */
    void setLaneLoops(IntFunction<EventLoop> loopsByLane) {
        laneLoops = loopsByLane;
    }

    void setDropCounter(DropCounter counter) {
        dropCounter = counter;
    }

    @Override
    public boolean offer(TransportEvent event) {
        EventLoop loop = laneLoops.apply(laneOf(event));
        return loop.queueSize() < MAX_QUEUED_ARRIVALS && loop.offer(event);
    }

    @Override
    public void put(TransportEvent event) throws InterruptedException {
        if (event instanceof TransportEvent.ConnectionLost) {
            for (int i = 0; i < laneCount; i++) {
                laneLoops.apply(i).put(event, () -> dropCounter.increment("waited for the inbox"));
            }
            return;
        }
        int lane = laneOf(event);
        while (laneLoops.apply(lane).queueSize() >= MAX_QUEUED_ARRIVALS) {
            dropCounter.increment("waited for the inbox");
            java.util.concurrent.TimeUnit.MILLISECONDS.sleep(5);
        }
        laneLoops.apply(lane).put(event, () -> dropCounter.increment("waited for the inbox"));
    }

    private int laneOf(TransportEvent event) {
        Message message = event instanceof TransportEvent.MessageReceived received
                ? received.message()
                : event instanceof TransportEvent.InvalidRequest invalid ? invalid.request() : null;
        return message == null ? 0 : Lane.forCallId(message.callId(), laneCount);
    }
}
