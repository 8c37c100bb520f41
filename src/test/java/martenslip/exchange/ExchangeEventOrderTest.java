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
 * One exchange's real SIP, contacts, decider and module through every order of messages, losses, refusals, hang-ups
 * and timers of one contact.
 */
public class ExchangeEventOrderTest {
    private final Logger log = (Logger) LoggerFactory.getLogger("martenslip.exchange");

    @BeforeClass
    public void hush() {
        log.setLevel(Level.OFF);
    }

    @AfterClass
    public void speak() {
        log.setLevel(null);
    }

    private static final Span RELEASE = Span.ofMillis(100);

    private static SearchResult search(Scenario plan, int depth, Span release, BiPredicate<Message, Integer> doubles) {
        return InterleavingExplorer.search(() -> new SimulatedExchange(plan, release, doubles), depth);
    }

    /** Name, plan (tcp, circuits, losses, refusals, the caller leaves, hang-ups, a break), choices, sequences. */
    @DataProvider
    public Object[][] worlds() {
        return new Object[][] {
            {"UDP, the caller leaves", new Scenario(false, 4, 0, 0, true, false, false), 8, 6047L},
            {"UDP, a message is lost, the caller leaves", new Scenario(false, 4, 1, 0, true, false, false), 8, 17085L},
            {"UDP, refused, lost", new Scenario(false, 4, 1, 1, false, false, false), 8, 13063L},
            {"UDP, over the tandem after a refusal", new Scenario(false, 0, 0, 1, true, false, false), 8, 11331L},
            {"UDP, both hang up", new Scenario(false, 4, 1, 0, false, true, false), 8, 8248L},
            {"TCP, all of it", new Scenario(true, 4, 0, 1, true, true, false), 9, 25432L},
            {"TCP, the connection breaks", new Scenario(true, 4, 0, 0, true, true, true), 8, 6243L},
        };
    }

    @Test(dataProvider = "worlds")
    public void rulesHoldOnTheWireInEveryOrder(String name, Scenario plan, int depth, long sequences) {
        assertEquals(search(plan, depth, RELEASE, (message, to) -> false), new SearchResult(sequences, null), name);
    }

    /** A ring given up unheard may be cancelled only once a response has come (RFC 3261 9.1), here 45 ms later. */
    @Test
    public void aCancelThatLeavesLateStartsTheReleaseAnew() {
        SimulatedExchange world = new SimulatedExchange(
                SimulatedExchange.site(200),
                new Scenario(false, 4, 0, 0, false, false, false),
                RELEASE,
                (message, to) -> false);
        world.arrive(MalformedMessageTest.INVITE.getBytes(StandardCharsets.UTF_8), 1000);
        Request first = (Request) world.sentTo(3001).get(0);
        world.passes(245);
        assertEquals(sent(world), 1L);
        world.arrive(first.createResponse(180, "Ringing", "tag").bytes(), 3001);
        world.passes(200);
        assertEquals(sent(world), 2L);
        assertEquals(world.rules().violations(), List.of());
    }

    private static long sent(SimulatedExchange world) {
        return world.sentTo(-1).stream()
                .filter(one -> one instanceof Request request && request.hasMethod("INVITE"))
                .count();
    }

    private static void caught(SearchResult found, String rule) {
        assertTrue(found.fault() != null && found.fault().startsWith("[" + rule + ": "), "" + found);
    }

    @Test
    public void aSecondAnswerIsCaught() {
        caught(
                search(
                        new Scenario(false, 4, 0, 0, false, false, false),
                        6,
                        RELEASE,
                        (message, to) ->
                                to == 1000 && message instanceof Response response && response.status() == 200),
                "1");
    }

    @Test
    public void aSecondRingIsCaught() {
        caught(
                search(
                        new Scenario(false, 4, 0, 0, false, false, false),
                        6,
                        RELEASE,
                        (message, to) ->
                                to >= 3000 && message instanceof Request request && request.hasMethod("INVITE")),
                "2");
    }

    @Test
    public void aReleaseThatIsTooShortIsCaught() {
        caught(
                search(
                        new Scenario(false, 4, 0, 1, false, false, false),
                        6,
                        Span.ofMillis(900),
                        (message, to) -> false),
                "5");
    }
}
