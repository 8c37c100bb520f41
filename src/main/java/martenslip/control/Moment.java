package martenslip.control;

/** A point in monotonic time in nanoseconds; two of them differ by a {@link Span}. */
public record Moment(long ns) implements Comparable<Moment> {
    /** The moment this long after this one. */
    public Moment plus(Span span) {
        return new Moment(ns + span.ns());
    }

    /** The time that passed from the earlier moment to this one; negative if that one is later. */
    public Span since(Moment earlier) {
        return new Span(ns - earlier.ns);
    }

    /** Whether this moment is strictly earlier. */
    public boolean before(Moment other) {
        return ns < other.ns;
    }

    @Override
    public int compareTo(Moment other) {
        return Long.compare(ns, other.ns);
    }
}
