package martenslip.platform;

import martenslip.control.Span;

/**
 * When a controller refuses, answers and ends after SIGTERM. The platform kills it no sooner than the longest deadline
 * of a set-up, counted as 3 s where it is longer, plus 0.7 s after SIGTERM. Callers use open connections until then, so
 * the controller must have closed them before: a set-up that the kill finds without an answer is lost. Without I/O,
 * threads or clock; all times count from SIGTERM.
 *
 * @param killAfter the earliest time of the kill
 */
record ShutdownSchedule(Span killAfter) {
    private static final Span MAX_COUNTED_DEADLINE = Span.ofMillis(3000);
    /** New connections come for 0.4 s after SIGTERM, and set-ups on them for a further 0.2 s; some wait unread. */
    private static final Span ARRIVAL_PERIOD = Span.ofMillis(700);

    /** From the first refusal to the kill where the deadlines leave the choice. */
    private static final Span REFUSAL_PERIOD = Span.ofMillis(1900);
    /** From the first refusal to the first check whether nothing is open. */
    private static final Span REFUSAL_BEFORE_IDLE_CHECK = Span.ofMillis(200);
    /** Enough to answer what is open, to close the connections and to end the process on a part of a core. */
    private static final Span FINAL_PERIOD = Span.ofMillis(350);
    /** From the end of the last connection to the kill. */
    private static final Span PROCESS_END = Span.ofMillis(150);

    private static final Span MAX_CLOSE_TIMEOUT = Span.ofMillis(600);

    /** The schedule for set-ups whose longest deadline is the given one. */
    static ShutdownSchedule forLongestDeadline(Span longestDeadline) {
        return new ShutdownSchedule(longestDeadline.atMost(MAX_COUNTED_DEADLINE).plus(ARRIVAL_PERIOD));
    }

    /** Set-ups that come later are refused. */
    Span refuseAfter() {
        return killAfter.minus(REFUSAL_PERIOD).atLeast(ARRIVAL_PERIOD);
    }

    /** The controller ends from here on as soon as nothing is open. */
    Span firstIdleCheckAfter() {
        return refuseAfter().plus(REFUSAL_BEFORE_IDLE_CHECK).atMost(answerAllAfter());
    }

    /** What is still open is answered now, as nothing can be answered after the kill. */
    Span answerAllAfter() {
        return killAfter.minus(FINAL_PERIOD);
    }

    /** How long closing the callers' connections may take if it begins at the given time after SIGTERM. */
    Span closeTimeout(Span sinceSigterm) {
        return killAfter
                .minus(PROCESS_END)
                .minus(sinceSigterm)
                .atLeast(Span.ZERO)
                .atMost(MAX_CLOSE_TIMEOUT);
    }
}
