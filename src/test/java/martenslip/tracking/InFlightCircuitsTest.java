package martenslip.tracking;

import static org.testng.Assert.assertEquals;

import martenslip.control.Moment;
import martenslip.control.Span;
import org.testng.annotations.Test;

/** Which rings are subtracted from the reported free circuits, and for how long. */
public class InFlightCircuitsTest {
    private static Moment at(double milliseconds) {
        return new Moment(Span.ofMillis(milliseconds).ns());
    }

    @Test
    public void ringCountsUntilItsResponseHasSettled() {
        InFlightCircuits circuits = new InFlightCircuits();
        circuits.ringSent(3, 1, 0, 4);
        circuits.ringSent(3, 2, 0, 1);
        circuits.ringSent(5, 9, 0, 1);
        assertEquals(circuits.inFlightCount(at(500), 3), 5, "a ring without a response stays counted");
        circuits.responseReceived(at(510), 3, 1, 0);
        circuits.responseReceived(at(530), 3, 1, 0);
        assertEquals(circuits.inFlightCount(at(539), 3), 5);
        assertEquals(circuits.inFlightCount(at(540), 3), 1, "a second response does not restart the settling time");
        circuits.ringEnded(3, 2, 0);
        assertEquals(circuits.inFlightCount(at(540), 3), 0);
        assertEquals(circuits.inFlightCount(at(540), 5), 1);
        assertEquals(circuits.inFlightCount(at(540), 7), 0);
    }

    @Test
    public void responsesToAnEarlierRingAreIgnoredAndLostContactsDropped() {
        InFlightCircuits circuits = new InFlightCircuits();
        circuits.ringSent(3, 1, 0, 1);
        circuits.ringEnded(3, 1, 0);
        circuits.ringSent(3, 1, 1, 1);
        circuits.ringEnded(3, 1, 0);
        circuits.responseReceived(at(0), 3, 1, 0);
        assertEquals(circuits.inFlightCount(at(1000), 3), 1);
        circuits.retainContacts(contact -> contact != 1);
        assertEquals(circuits.inFlightCount(at(1000), 3), 0);
    }
}
