package martenslip.control;

/**
 * The outcome of a ring; each ring has exactly one.
 *
 * @param contact id of the contact
 * @param ring number of the ring among those of its contact, from 0
 * @param target id of the switch that the ring was sent to
 * @param cause how the ring ended
 * @param rejectionReason why it was rejected, or {@link RejectionReason#NONE}
 * @param elapsed how long the ring lasted
 * @param answered whether the contact already has its final answer
 * @param report values in the order of the settings' report fields; may be empty
 */
public record RingEnd(
        long contact,
        int ring,
        long target,
        RingEndCause cause,
        RejectionReason rejectionReason,
        Span elapsed,
        boolean answered,
        float[] report) {}
