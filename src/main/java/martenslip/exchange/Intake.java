package martenslip.exchange;

import java.util.function.IntFunction;
import martenslip.sip.message.Message;
import martenslip.sip.transport.Arrival;
import martenslip.sip.transport.Drops;
import martenslip.sip.transport.Sink;
import martenslip.wheel.Post;

/**
 * Leads what arrives to the lane of its Call-ID, without a lock of its own. At {@link #MOST} waiting a lane takes no
 * more from outside, so that orders and reports from inside find room: datagrams are lost, connections held up.
 */
final class Intake implements Sink {
    /** A quarter of a post's inbox. */
    static final int MOST = 16_384;

    private final int lanes;
    private IntFunction<Post> posts;
    private Drops drops;

    Intake(int lanes) {
        this.lanes = lanes;
    }

    /** Before the sockets are opened, as {@link #drops} is. */
    void to(IntFunction<Post> lanesPosts) {
        posts = lanesPosts;
    }

    void drops(Drops counts) {
        drops = counts;
    }

    @Override
    public boolean offer(Arrival arrival) {
        Post post = posts.apply(lane(arrival));
        return post.waiting() < MOST && post.offer(arrival);
    }

    @Override
    public void put(Arrival arrival) throws InterruptedException {
        if (arrival instanceof Arrival.Broken) {
            for (int i = 0; i < lanes; i++) {
                posts.apply(i).put(arrival, () -> drops.count("waited for the inbox"));
            }
            return;
        }
        int lane = lane(arrival);
        while (posts.apply(lane).waiting() >= MOST) {
            drops.count("waited for the inbox");
            java.util.concurrent.TimeUnit.MILLISECONDS.sleep(5);
        }
        posts.apply(lane).put(arrival, () -> drops.count("waited for the inbox"));
    }

    private int lane(Arrival arrival) {
        Message message = arrival instanceof Arrival.Received received ? received.message()
                : arrival instanceof Arrival.Wrong wrong ? wrong.request() : null;
        return message == null ? 0 : Lane.of(message.callId(), lanes);
    }
}
