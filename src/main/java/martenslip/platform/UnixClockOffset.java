package martenslip.platform;

import java.util.function.LongSupplier;
import martenslip.control.Moment;
import martenslip.control.Span;

/** Converts times of the Unix clock, which other machines give, into moments of the program's monotonic clock. */
final class UnixClockOffset {
    private static final long NS_PER_MS = 1_000_000;
    /** The thread may be suspended between the readings of the two clocks; the closest pair of several counts. */
    private static final int READINGS = 5;

    /** The monotonic clock minus the Unix clock. */
    private final Span offset;

    private UnixClockOffset(Span offset) {
        this.offset = offset;
    }

    /** Reads both clocks. The monotonic one must be read anew by each call, not once a turn of an event loop. */
    static UnixClockOffset measure(LongSupplier unixClockMs, LongSupplier monotonicClockNs) {
        long shortestNs = Long.MAX_VALUE;
        long offsetNs = 0;
        for (int i = 0; i < READINGS; i++) {
            long beforeNs = monotonicClockNs.getAsLong();
            long unixTimeMs = unixClockMs.getAsLong();
            long afterNs = monotonicClockNs.getAsLong();
            if (afterNs - beforeNs < shortestNs) {
                shortestNs = afterNs - beforeNs;
                offsetNs = afterNs - unixTimeMs * NS_PER_MS;
            }
        }
        return new UnixClockOffset(new Span(offsetNs));
    }

    Moment toMoment(long unixTimeMs) {
        return new Moment(unixTimeMs * NS_PER_MS).plus(offset);
    }
}
