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
        WHOLE,
        /** All lines as they were last known here; they may be stale. */
        REMEMBERED,
        /** The list could not be had; what was known stands. */
        FAILED
    }

    void listed(Moment now, ListKind kind, List<SwitchLine> lines);

    void offered(Moment now, Contact contact);

    void stands(Moment now, long contact, int ring, long target, Span took);

    void ringEnded(Moment now, RingEnd end);

    void callerGone(Moment now, long contact);

    void clockRung(Moment now, long token);

    /** Circuits toward a switch, and what its processor reports where that was asked for. */
    void reported(Moment now, long target, boolean reached, Span took, float[] report);

    void peerNote(Moment now, int peer, byte[] note);

    void stopped(Moment now);
}
