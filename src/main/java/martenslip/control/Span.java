package martenslip.control;

/** A length of time; it has no place on the clock until a {@link Moment} is added. */
public record Span(long ns) implements Comparable<Span> {
    public static final Span ZERO = new Span(0);

    public static Span ofMillis(double milliseconds) {
        return new Span(Math.round(milliseconds * 1e6));
    }

    public Span plus(Span other) {
        return new Span(ns + other.ns);
    }

    public Span minus(Span other) {
        return new Span(ns - other.ns);
    }

    public Span times(double factor) {
        return new Span((long) (ns * factor));
    }

    public double ratioTo(Span other) {
        return (double) ns / other.ns;
    }

    public boolean longerThan(Span other) {
        return ns > other.ns;
    }

    public Span atMost(Span limit) {
        return ns > limit.ns ? limit : this;
    }

    public Span atLeast(Span limit) {
        return ns < limit.ns ? limit : this;
    }

    @Override
    public int compareTo(Span other) {
        return Long.compare(ns, other.ns);
    }
}
