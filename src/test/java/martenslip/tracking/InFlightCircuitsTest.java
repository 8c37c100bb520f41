package martenslip.tracking;

import static org.testng.Assert.assertEquals;

import martenslip.control.Moment;
import martenslip.control.Span;
import org.testng.annotations.Test;

public class InFlightCircuitsTest {
    private static Moment at(double ms) {
        return new Moment(Span.ofMillis(ms).ns());
    }

    @Test
    public void aRingIsTakenOffUntilItsWordHasSettled() {
        InFlightCircuits afloat = new InFlightCircuits();
        afloat.ringSent(3, 1, 0, 4);
        afloat.ringSent(3, 2, 0, 1);
        afloat.ringSent(5, 9, 0, 1);
        assertEquals(afloat.inFlightCount(at(500), 3), 5, "without a word it stays");
        afloat.responseReceived(at(510), 3, 1, 0);
        afloat.responseReceived(at(530), 3, 1, 0);
        assertEquals(afloat.inFlightCount(at(539), 3), 5);
        assertEquals(afloat.inFlightCount(at(540), 3), 1, "a second word does not begin anew");
        afloat.ringEnded(3, 2, 0);
        assertEquals(afloat.inFlightCount(at(540), 3), 0);
        assertEquals(afloat.inFlightCount(at(540), 5), 1);
        assertEquals(afloat.inFlightCount(at(540), 7), 0);
    }

    @Test
    public void wordsOfAnEarlierRingChangeNothingAndLostOnesAreDropped() {
        InFlightCircuits afloat = new InFlightCircuits();
        afloat.ringSent(3, 1, 0, 1);
        afloat.ringEnded(3, 1, 0);
        afloat.ringSent(3, 1, 1, 1);
        afloat.ringEnded(3, 1, 0);
        afloat.responseReceived(at(0), 3, 1, 0);
        assertEquals(afloat.inFlightCount(at(1000), 3), 1);
        afloat.retainContacts(contact -> contact != 1);
        assertEquals(afloat.inFlightCount(at(1000), 3), 0);
    }
}
