package martenslip.exchange;

import java.util.function.IntFunction;
import martenslip.sip.message.Message;
import martenslip.sip.transport.Arrival;
import martenslip.sip.transport.Drops;
import martenslip.sip.transport.Sink;
import martenslip.wheel.EventLoop;

/**
 * Leads what arrives to the lane of its Call-ID, without a lock of its own. At {@link #MOST} waiting a lane takes no
 * more from outside, so that orders and reports from inside find room: datagrams are lost, connections held up.
 */
final class Intake implements Sink {
    /** A quarter of a loop's inbox. */
    static final int MOST = 16_384;

    private final int lanes;
    private IntFunction<EventLoop> loops;
    private Drops drops;

    Intake(int lanes) {
        this.lanes = lanes;
    }

    /** Before the sockets are opened, as {@link #drops} is. */
    void to(IntFunction<EventLoop> lanesLoops) {
        loops = lanesLoops;
    }

    void drops(Drops counts) {
        drops = counts;
    }

    @Override
    public boolean offer(Arrival arrival) {
        EventLoop loop = loops.apply(lane(arrival));
        return loop.waiting() < MOST && loop.offer(arrival);
    }

    @Override
    public void put(Arrival arrival) throws InterruptedException {
        if (arrival instanceof Arrival.Broken) {
            for (int i = 0; i < lanes; i++) {
                loops.apply(i).put(arrival, () -> drops.count("waited for the inbox"));
            }
            return;
        }
        int lane = lane(arrival);
        while (loops.apply(lane).waiting() >= MOST) {
            drops.count("waited for the inbox");
            java.util.concurrent.TimeUnit.MILLISECONDS.sleep(5);
        }
        loops.apply(lane).put(arrival, () -> drops.count("waited for the inbox"));
    }

    private int lane(Arrival arrival) {
        Message message = arrival instanceof Arrival.Received received
                ? received.message()
                : arrival instanceof Arrival.Wrong wrong ? wrong.request() : null;
        return message == null ? 0 : Lane.of(message.callId(), lanes);
    }
}
