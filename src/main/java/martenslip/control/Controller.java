package martenslip.control;

import java.util.List;

/**
 * What a program tells the module that decides. Each call carries the moment at which the program
 * learned of it; what the module wants done goes to the {@link Orders} it was made with.
 */
public interface Controller {
    enum ListKind {
        /** Only the lines that changed. */
        CHANGES,
        /** All lines: what is missing is gone. */
        FULL,
        /** All lines as they were last known here; they may be stale. */
        CACHED,
        /** The list could not be had; what was known stands. */
        FAILED
    }

    void switchListReceived(Moment now, ListKind kind, List<SwitchEntry> entries);

    void contactOffered(Moment now, Contact contact);

    void established(Moment now, long contact, int ring, long target, Span setUpTime);

    void ringEnded(Moment now, RingEnd end);

    void callerGone(Moment now, long contact);

    void timerExpired(Moment now, long token);

    /** Circuits toward a switch, and what its processor reports where that was asked for. */
    void switchReported(Moment now, long target, boolean reached, Span responseTime, float[] report);

    void peerNoteReceived(Moment now, int peer, byte[] note);

    void stopped(Moment now);
}
