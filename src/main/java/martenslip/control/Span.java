package martenslip.control;

/** A duration in nanoseconds; added to a {@link Moment} it gives another one. */
public record Span(long ns) implements Comparable<Span> {
    public static final Span ZERO = new Span(0);

    /** Rounds to whole nanoseconds. */
    public static Span ofMillis(double milliseconds) {
        return new Span(Math.round(milliseconds * 1e6));
    }

    /** The sum of both durations. */
    public Span plus(Span other) {
        return new Span(ns + other.ns);
    }

    /** The difference, which may be negative. */
    public Span minus(Span other) {
        return new Span(ns - other.ns);
    }

    /** The product, truncated to whole nanoseconds. */
    public Span times(double factor) {
        return new Span((long) (ns * factor));
    }

    /** This duration divided by the other one. */
    public double ratioTo(Span other) {
        return (double) ns / other.ns;
    }

    /** Whether this duration is strictly longer. */
    public boolean longerThan(Span other) {
        return ns > other.ns;
    }

    /** The shorter of this duration and the limit. */
    public Span atMost(Span limit) {
        return ns > limit.ns ? limit : this;
    }

    /** The longer of this duration and the limit. */
    public Span atLeast(Span limit) {
        return ns < limit.ns ? limit : this;
    }

    @Override
    public int compareTo(Span other) {
        return Long.compare(ns, other.ns);
    }
}
