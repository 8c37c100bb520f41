package martenslip.platform.journal;

import java.net.InetSocketAddress;

/**
 * The journal service's events in the order of their numbers, each once, from whichever address tells them. Where the
 * service moves, the feed that talked last goes on until the new one talks, so a list is never without one for longer
 * than it must be; an event that was cut off, or came before, is none.
 *
 * <p>One lock guards what feeds there are, and which of them is heard. An event is handed on under it: two feeds that
 * tell the same one meet here, and one that is no longer heard tells nothing after.
 */
public final class Journal implements AutoCloseable {
    /** Takes events in the order of their numbers; called by a feed's thread. */
    public interface Heard {
        void event(ListEvent event) throws InterruptedException;

        void broken(String why);
    }

    private final Heard heard;
    private Feed newest;
    /** The one before, as long as the newest has not talked; or null. */
    private Feed before;

    private boolean newestTalked;
    private boolean closing;
    private volatile long position;

    public Journal(InetSocketAddress at, long position, Heard heard) {
        this.position = position;
        this.heard = heard;
        newest = new Feed(at, tells);
    }

    public synchronized void start() {
        newest.start();
    }

    public long position() {
        return position;
    }

    /** From now on the feed is read elsewhere; positions go on. Any thread. */
    public synchronized void moved(InetSocketAddress to) {
        if (closing || to.equals(newest.at)) {
            return;
        }
        newest.end();
        if (newestTalked) {
            // Its address takes nobody any more: what it has still to tell is welcome.
            before = newest;
        }
        newest = new Feed(to, tells);
        newestTalked = false;
        newest.start();
    }

    private final Feed.Tells tells = new Feed.Tells() {
        @Override
        public long position() {
            return Journal.this.position();
        }

        @Override
        public boolean talks(Feed by) {
            synchronized (Journal.this) {
                if (by == newest && !newestTalked) {
                    newestTalked = true;
                    before = null;
                }
                return counts(by);
            }
        }

        @Override
        public void event(Feed by, ListEvent event) throws InterruptedException {
            synchronized (Journal.this) {
                if (!counts(by) || event.position() <= position) {
                    return;
                }
                heard.event(event);
                position = event.position();
            }
        }

        @Override
        public void broken(String why) {
            heard.broken(why);
        }
    };

    private boolean counts(Feed by) {
        return !closing && (by == newest || by == before);
    }

    @Override
    public synchronized void close() {
        closing = true;
        newest.end();
    }
}
