package martenslip.control;

/** A point in time of the program's clock; two of them differ by a {@link Span}. */
public record Moment(long ns) implements Comparable<Moment> {
    public Moment plus(Span span) {
        return new Moment(ns + span.ns());
    }

    public Span since(Moment earlier) {
        return new Span(ns - earlier.ns);
    }

    public boolean before(Moment other) {
        return ns < other.ns;
    }

    @Override
    public int compareTo(Moment other) {
        return Long.compare(ns, other.ns);
    }
}
