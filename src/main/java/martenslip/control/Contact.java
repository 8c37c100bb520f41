package martenslip.control;

/**
 * A contact as it is offered to the module.
 *
 * @param id id of the contact at this exchange
 * @param skill index of its class of service
 * @param dialledNumber the number that the caller dialled; 0 if unknown
 * @param destination number of the switch where the contact ends
 * @param routingHint number of the advised tandem or, in transit, of the switch that the contact comes from; -1 if
 *     there is none
 * @param width circuits that the contact takes
 * @param patience how much longer the caller waits in this attempt
 * @param redial whether the caller is dialling again
 * @param inTransit whether this exchange is the tandem of the contact
 * @param previouslyCut whether an earlier contact of this caller was cut
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
