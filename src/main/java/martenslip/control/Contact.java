package martenslip.control;

/**
 * A contact as it is handed over. {@code destination} is the number of the switch where it ends;
 * {@code hint} is the centre's advised tandem, or, in transit, the number of the switch it comes
 * from; -1 where there is none. {@code dialled} is 0 where unknown. {@code patience} is what the
 * caller has left for this try.
 */
public record Contact(
        long id,
        int skill,
        long dialledNumber,
        int destination,
        int routingHint,
        int width,
        Span patience,
        boolean redial,
        boolean inTransit,
        boolean previouslyCut) {}
