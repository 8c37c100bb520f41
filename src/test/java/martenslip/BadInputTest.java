package martenslip;

import static martenslip.ExchangeFixture.CHEAP;
import static martenslip.ExchangeFixture.URGENT;
import static martenslip.ExchangeFixture.at;
import static martenslip.ExchangeFixture.contact;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import martenslip.control.Contact;
import martenslip.control.Controller.ListKind;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.control.SwitchEntry.State;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Values out of range and NaN never cost a contact its answer and never make the module throw. */
public class BadInputTest {
    private static final float NAN = Float.NaN;
    private static final float INFINITY = Float.POSITIVE_INFINITY;

    private static ExchangeFixture exchange() {
        ExchangeFixture exchange = new ExchangeFixture();
        exchange.settings.put("report.fields", "spare,total,allowed,depth");
        return exchange.ready(20, 40);
    }

    private static ExchangeFixture exchangeWithReport(Moment reportedAt, float... report) {
        ExchangeFixture exchange = exchange();
        exchange.policy.switchReported(reportedAt, 101, true, Span.ZERO, report);
        return exchange;
    }

    private static void offer(ExchangeFixture exchange, long id, int skill, double seconds) {
        exchange.policy.contactOffered(at(seconds), contact(id, skill, 3));
    }

    @Test
    public void processorThatAllowsNothingGetsNoContacts() {
        ExchangeFixture exchange = exchangeWithReport(at(1), 20, 40, 0, 300);
        offer(exchange, 1, CHEAP, 1.01);
        assertEquals(exchange.takeOrders(), List.of("defer 1"));
        offer(exchange, 2, URGENT, 1.01);
        assertEquals(exchange.takeOrders(), List.of("defer 2"));
    }

    @DataProvider
    public Object[][] reports() {
        return new Object[][] {
            {new float[] {20, 40, NAN, NAN}},
            {new float[] {20, 40, INFINITY, INFINITY}},
            {new float[] {20, 40, -INFINITY, -INFINITY}},
            {new float[] {20, 40, 1e-45f, 3e38f}},
            {new float[] {20, 40, 3e38f}},
            {new float[] {}},
            {new float[] {20}},
            {new float[] {20, 40}},
            {new float[] {NAN, NAN, NAN, NAN}},
            {new float[] {-5, 40, -1, -1}},
            {new float[] {20, -1, -1, -1}},
            {new float[] {INFINITY, INFINITY, 1, 1}},
            {new float[] {20, 40, 1, 1, 1, 1, 1, 1}}
        };
    }

    @Test(dataProvider = "reports")
    public void badReportIsReplacedByTheNextGoodOnes(float[] bad) {
        ExchangeFixture exchange = exchangeWithReport(at(1), bad);
        for (int i = 0; i < 40; i++) {
            exchange.policy.switchReported(at(20 + i * 0.1), 101, true, Span.ZERO, new float[] {20, 40, 50, 1});
        }
        offer(exchange, 1, CHEAP, 24);
        assertEquals(exchange.takeOrders(), List.of("ring 1 101"));
    }

    @Test
    public void freeCircuitsAreLimitedToTheGroupSize() {
        ExchangeFixture exchange = exchangeWithReport(at(1), 5, 0, -1, -1);
        assertEquals(exchange.policy.switchById(101).freeCircuits, 0);
        exchange.policy.switchReported(at(1), 101, true, Span.ZERO, new float[] {90, 40, -1, -1});
        assertEquals(exchange.policy.switchById(101).freeCircuits, 40);
        exchange.policy.switchReported(at(1), 101, true, Span.ZERO, new float[] {-3, 40, -1, -1});
        assertEquals(exchange.policy.switchById(101).freeCircuits, 0);
    }

    @DataProvider
    public Object[][] contacts() {
        return new Object[][] {
            {-1, 1, 1, 3000.0},
            {99, 1, 1, 3000.0},
            {0, -4, 1, 3000.0},
            {0, 1 << 30, 1, 3000.0},
            {0, Integer.MAX_VALUE, 1, 3000.0},
            {0, 1, 0, 3000.0},
            {1, 1, 0, 3000.0},
            {0, 1, -7, 3000.0},
            {0, 1, 77, 3000.0},
            {0, 1, 1, -5.0},
            {0, 1, 1, 0.0},
            {0, 1, 1, 9e15}
        };
    }

    @Test(dataProvider = "contacts")
    public void outOfRangeContactGetsOneAnswerOrOneRing(int skill, int width, int destination, double patience) {
        ExchangeFixture exchange = exchange();
        exchange.policy.contactOffered(
                at(1), new Contact(1, skill, 7, destination, -1, width, Span.ofMillis(patience), false, false, false));
        exchange.policy.timerExpired(at(1.6), 2);
        List<String> orders = exchange.takeOrders();
        assertTrue(orders.equals(List.of("defer 1")) || orders.equals(List.of("ring 1 101")), "" + orders);
    }

    @Test
    public void malformedPeerNotesAddOnlyListedNumbers() {
        ExchangeFixture exchange = exchange();
        exchange.settings.put("policy-limits.peers", "true");
        exchange.policy.switchListReceived(
                at(1), ListKind.CHANGES, List.of(new SwitchEntry(900, -2, State.READY, null, 0)));
        for (int length = 0; length < 300; length++) {
            byte[] note = new byte[length];
            java.util.Arrays.fill(note, (byte) (length % 2 == 0 ? 0xff : length));
            exchange.policy.peerNoteReceived(at(1), -1, note);
        }
        for (int number = 0; number < 0xffff; number++) {
            exchange.policy.peerNoteReceived(at(1), 5, new byte[] {(byte) (number >> 8), (byte) number, 2});
        }
        assertTrue(
                exchange.policy.switchById(101).tandemWeights.size() <= 4,
                "" + exchange.policy.switchById(101).tandemWeights.size());
        offer(exchange, 1, CHEAP, 2);
        assertTrue(exchange.takeOrders().contains("ring 1 101"));
    }

    @Test
    public void faultInOneEventLosesThatEventOnly() {
        ExchangeFixture exchange = exchange();
        exchange.policy.contactOffered(at(1), null);
        offer(exchange, 1, CHEAP, 2);
        List<String> orders = exchange.takeOrders();
        assertTrue(orders.contains("ring 1 101"), "" + orders);
        assertTrue(orders.get(0).startsWith("log fault"), "" + orders);
    }

    /** The JVM omits the stack trace of a fault that has occurred often. */
    @Test
    public void faultWithoutStackTraceIsHandled() {
        ExchangeFixture exchange = exchange();
        RuntimeException withoutTrace = new RuntimeException("injected", null, false, false) {
            private static final long serialVersionUID = 1L;
        };
        exchange.policy.contactManager.enqueue(manager -> {
            throw withoutTrace;
        });
        offer(exchange, 1, CHEAP, 2);
        assertEquals(exchange.takeOrders().get(1), "ring 1 101");
    }

    @Test
    public void replacedSwitchesAreRemoved() {
        ExchangeFixture exchange = exchange();
        for (int generation = 1; generation <= 500; generation++) {
            SwitchEntry previous = new SwitchEntry(generation == 1 ? 101 : 1000 + generation, 1, State.GONE, null, 0);
            exchange.policy.switchListReceived(
                    at(generation),
                    ListKind.CHANGES,
                    List.of(previous, new SwitchEntry(1001 + generation, 1, State.READY, null, 0)));
            exchange.policy.switchReported(
                    at(generation), 1001 + generation, true, Span.ZERO, new float[] {20, 40, -1, -1});
        }
        assertEquals(exchange.policy.trialInterval(), Span.ofMillis(1000));
        offer(exchange, 1, CHEAP, 600);
        assertEquals(exchange.takeOrders(), List.of("ring 1 1501"));
        assertEquals(exchange.policy.switches.size(), 4);
    }
}
