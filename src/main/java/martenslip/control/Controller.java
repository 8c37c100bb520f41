package martenslip.control;

import java.util.List;

/**
 * The module as a program sees it. Each call carries the moment at which the program learned of the event; the module
 * answers through the {@link Orders} it was created with.
 */
public interface Controller {
    /** What a received switch list contains. */
    enum ListKind {
        /** Only the entries that changed. */
        CHANGES,
        /** All entries; a switch that is missing is gone. */
        FULL,
        /** All entries as last stored here; they may be stale. */
        CACHED,
        /** The list could not be fetched; the known entries remain valid. */
        FAILED
    }

    /** The switch list or a part of it was received, or could not be fetched. */
    void switchListReceived(Moment now, ListKind kind, List<SwitchEntry> entries);

    /** A contact requests to be set up; the module owes it one final answer within its patience. */
    void contactOffered(Moment now, Contact contact);

    /** A ring was answered and its contact is established; {@code setUpTime} is how long that took. */
    void established(Moment now, long contact, int ring, long target, Span setUpTime);

    /** A ring has ended, before or after it was established. */
    void ringEnded(Moment now, RingEnd end);

    /** The caller ended its request before the final answer; no answer is due any more. */
    void callerGone(Moment now, long contact);

    /** A timer that the module started has expired. */
    void timerExpired(Moment now, long token);

    /** Free and total circuits toward a switch, and the values that its processor reported if it was probed. */
    void switchReported(Moment now, long target, boolean reached, Span responseTime, float[] report);

    /** A note of a peer controller was received. */
    void peerNoteReceived(Moment now, int peer, byte[] note);

    /** The program is stopping. */
    void stopped(Moment now);
}
