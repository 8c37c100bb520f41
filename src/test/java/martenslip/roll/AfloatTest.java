package martenslip.roll;

import static org.testng.Assert.assertEquals;

import martenslip.control.Moment;
import martenslip.control.Span;
import org.testng.annotations.Test;

public class AfloatTest {
    private static Moment at(double ms) {
        return new Moment(Span.ofMillis(ms).ns());
    }

    @Test
    public void aRingIsTakenOffUntilItsWordHasSettled() {
        Afloat afloat = new Afloat();
        afloat.sent(3, 1, 0, 4);
        afloat.sent(3, 2, 0, 1);
        afloat.sent(5, 9, 0, 1);
        assertEquals(afloat.circuits(at(500), 3), 5, "without a word it stays");
        afloat.heard(at(510), 3, 1, 0);
        afloat.heard(at(530), 3, 1, 0);
        assertEquals(afloat.circuits(at(539), 3), 5);
        assertEquals(afloat.circuits(at(540), 3), 1, "a second word does not begin anew");
        afloat.over(3, 2, 0);
        assertEquals(afloat.circuits(at(540), 3), 0);
        assertEquals(afloat.circuits(at(540), 5), 1);
        assertEquals(afloat.circuits(at(540), 7), 0);
    }

    @Test
    public void wordsOfAnEarlierRingChangeNothingAndLostOnesAreDropped() {
        Afloat afloat = new Afloat();
        afloat.sent(3, 1, 0, 1);
        afloat.over(3, 1, 0);
        afloat.sent(3, 1, 1, 1);
        afloat.over(3, 1, 0);
        afloat.heard(at(0), 3, 1, 0);
        assertEquals(afloat.circuits(at(1000), 3), 1);
        afloat.keepOnly(contact -> contact != 1);
        assertEquals(afloat.circuits(at(1000), 3), 0);
    }
}
