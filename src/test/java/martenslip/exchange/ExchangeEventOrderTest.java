package martenslip.exchange;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BiPredicate;
import martenslip.InterleavingExplorer;
import martenslip.InterleavingExplorer.SearchResult;
import martenslip.control.Span;
import martenslip.exchange.SimulatedExchange.Scenario;
import martenslip.sip.message.Message;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * Runs one exchange through every order of messages, losses, refusals, hang-ups and timers of one contact and checks
 * that the rules hold. Further tests inject faults and check that the rules detect them.
 */
public class ExchangeEventOrderTest {
    private final Logger logger = (Logger) LoggerFactory.getLogger("martenslip.exchange");

    @BeforeClass
    public void silenceLog() {
        logger.setLevel(Level.OFF);
    }

    @AfterClass
    public void restoreLog() {
        logger.setLevel(null);
    }

    private static final Span RELEASE_TIME = Span.ofMillis(100);

    private static SearchResult search(
            Scenario scenario, int depth, Span releaseTime, BiPredicate<Message, Integer> duplicated) {
        return InterleavingExplorer.search(() -> new SimulatedExchange(scenario, releaseTime, duplicated), depth);
    }

    /**
     * Name, scenario (TCP, free circuits, losses, refusals, the caller leaves, hang-ups, a broken connection), depth of
     * the search, expected number of sequences.
     */
    @DataProvider
    public Object[][] scenarios() {
        return new Object[][] {
            {"UDP, the caller leaves", new Scenario(false, 4, 0, 0, true, false, false), 8, 6047L},
            {"UDP, a message is lost, the caller leaves", new Scenario(false, 4, 1, 0, true, false, false), 8, 17085L},
            {"UDP, refused, lost", new Scenario(false, 4, 1, 1, false, false, false), 8, 13063L},
            {"UDP, via the tandem after a refusal", new Scenario(false, 0, 0, 1, true, false, false), 8, 11331L},
            {"UDP, both hang up", new Scenario(false, 4, 1, 0, false, true, false), 8, 8248L},
            {"TCP, refusals, the caller leaves, hang-ups", new Scenario(true, 4, 0, 1, true, true, false), 9, 25432L},
            {"TCP, the connection breaks", new Scenario(true, 4, 0, 0, true, true, true), 8, 6243L},
        };
    }

    @Test(dataProvider = "scenarios")
    public void rulesHoldForEveryEventOrder(String name, Scenario scenario, int depth, long sequences) {
        assertEquals(
                search(scenario, depth, RELEASE_TIME, (message, receiverPort) -> false),
                new SearchResult(sequences, null),
                name);
    }

    /**
     * A ring that was given up without a response may be cancelled only once a response has arrived (RFC 3261 9.1),
     * here 45 ms later. The next ring must wait for the release time after that CANCEL.
     */
    @Test
    public void delayedCancelRestartsTheReleaseTime() {
        SimulatedExchange exchange = new SimulatedExchange(
                SimulatedExchange.configuration(200),
                new Scenario(false, 4, 0, 0, false, false, false),
                RELEASE_TIME,
                (message, receiverPort) -> false);
        exchange.receive(MalformedMessageTest.INVITE.getBytes(StandardCharsets.UTF_8), 1000);
        Request firstInvite = (Request) exchange.sentTo(3001).get(0);
        exchange.advanceMillis(245);
        assertEquals(sentInviteCount(exchange), 1L);
        exchange.receive(firstInvite.createResponse(180, "Ringing", "tag").bytes(), 3001);
        exchange.advanceMillis(200);
        assertEquals(sentInviteCount(exchange), 2L);
        assertEquals(exchange.rules().violations(), List.of());
    }

    private static long sentInviteCount(SimulatedExchange exchange) {
        return exchange.sentTo(-1).stream()
                .filter(message -> message instanceof Request request && request.hasMethod("INVITE"))
                .count();
    }

    private static void assertViolationFound(SearchResult result, String rule) {
        assertTrue(result.fault() != null && result.fault().startsWith("[" + rule + ": "), "" + result);
    }

    @Test
    public void secondFinalAnswerIsDetected() {
        assertViolationFound(
                search(
                        new Scenario(false, 4, 0, 0, false, false, false),
                        6,
                        RELEASE_TIME,
                        (message, receiverPort) -> receiverPort == 1000
                                && message instanceof Response response
                                && response.status() == 200),
                "1");
    }

    @Test
    public void secondRingInFlightIsDetected() {
        assertViolationFound(
                search(
                        new Scenario(false, 4, 0, 0, false, false, false),
                        6,
                        RELEASE_TIME,
                        (message, receiverPort) -> receiverPort >= 3000
                                && message instanceof Request request
                                && request.hasMethod("INVITE")),
                "2");
    }

    @Test
    public void tooShortReleaseTimeIsDetected() {
        assertViolationFound(
                search(
                        new Scenario(false, 4, 0, 1, false, false, false),
                        6,
                        Span.ofMillis(900),
                        (message, receiverPort) -> false),
                "5");
    }
}
