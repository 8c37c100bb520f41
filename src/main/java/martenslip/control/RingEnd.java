package martenslip.control;

/**
 * The one outcome of a ring. {@code answered} says that the contact has its final answer already;
 * {@code report} holds the values in the order of the settings' report fields and may be empty.
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
