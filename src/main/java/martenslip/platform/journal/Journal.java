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
    public interface Listener {
        void eventReceived(SwitchListEvent event) throws InterruptedException;

        void connectionLost(String why);
    }

    private final Listener heard;
    private JournalConnection newest;
    /** The one before, as long as the newest has not talked; or null. */
    private JournalConnection before;

    private boolean newestTalked;
    private boolean closing;
    private volatile long position;

    public Journal(InetSocketAddress at, long position, Listener heard) {
        this.position = position;
        this.heard = heard;
        newest = new JournalConnection(at, tells);
    }

    public synchronized void start() {
        newest.start();
    }

    public long position() {
        return position;
    }

    /** From now on the feed is read elsewhere; positions go on. Any thread. */
    public synchronized void moveTo(InetSocketAddress to) {
        if (closing || to.equals(newest.at)) {
            return;
        }
        newest.end();
        if (newestTalked) {
            // Its address takes nobody any more: what it has still to tell is welcome.
            before = newest;
        }
        newest = new JournalConnection(to, tells);
        newestTalked = false;
        newest.start();
    }

    private final JournalConnection.Listener tells = new JournalConnection.Listener() {
        @Override
        public long position() {
            return Journal.this.position();
        }

        @Override
        public boolean talks(JournalConnection by) {
            synchronized (Journal.this) {
                if (by == newest && !newestTalked) {
                    newestTalked = true;
                    before = null;
                }
                return counts(by);
            }
        }

        @Override
        public void event(JournalConnection by, SwitchListEvent event) throws InterruptedException {
            synchronized (Journal.this) {
                if (!counts(by) || event.position() <= position) {
                    return;
                }
                heard.eventReceived(event);
                position = event.position();
            }
        }

        @Override
        public void broken(String why) {
            heard.connectionLost(why);
        }
    };

    private boolean counts(JournalConnection by) {
        return !closing && (by == newest || by == before);
    }

    @Override
    public synchronized void close() {
        closing = true;
        newest.end();
    }
}
