package martenslip.exchange;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.function.BiPredicate;
import martenslip.EveryOrder;
import martenslip.EveryOrder.Found;
import martenslip.control.Span;
import martenslip.exchange.WireWorld.Plan;
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
public class EveryWireTest {
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

    private static Found search(Plan plan, int depth, Span release, BiPredicate<Message, Integer> doubles) {
        return EveryOrder.search(() -> new WireWorld(plan, release, doubles), depth);
    }

    /** Name, plan (tcp, circuits, losses, refusals, the caller leaves, hang-ups, a break), choices, sequences. */
    @DataProvider
    public Object[][] worlds() {
        return new Object[][] {
            {"UDP, the caller leaves", new Plan(false, 4, 0, 0, true, false, false), 8, 6047L},
            {"UDP, a message is lost, the caller leaves", new Plan(false, 4, 1, 0, true, false, false), 8, 17085L},
            {"UDP, refused, lost", new Plan(false, 4, 1, 1, false, false, false), 8, 13063L},
            {"UDP, over the tandem after a refusal", new Plan(false, 0, 0, 1, true, false, false), 8, 11331L},
            {"UDP, both hang up", new Plan(false, 4, 1, 0, false, true, false), 8, 8248L},
            {"TCP, all of it", new Plan(true, 4, 0, 1, true, true, false), 9, 25432L},
            {"TCP, the connection breaks", new Plan(true, 4, 0, 0, true, true, true), 8, 6243L},
        };
    }

    @Test(dataProvider = "worlds")
    public void rulesHoldOnTheWireInEveryOrder(String name, Plan plan, int depth, long sequences) {
        assertEquals(search(plan, depth, RELEASE, (message, to) -> false), new Found(sequences, null), name);
    }

    /** A ring given up unheard may be cancelled only once a response has come (RFC 3261 9.1), here 45 ms later. */
    @Test
    public void aCancelThatLeavesLateStartsTheReleaseAnew() {
        WireWorld world = new WireWorld(
                WireWorld.site(200), new Plan(false, 4, 0, 0, false, false, false), RELEASE, (message, to) -> false);
        world.arrive(BadWireTest.INVITE.getBytes(StandardCharsets.UTF_8), 1000);
        Request first = (Request) world.sentTo(3001).get(0);
        world.passes(245);
        assertEquals(sent(world), 1L);
        world.arrive(first.answer(180, "Ringing", "tag").bytes(), 3001);
        world.passes(200);
        assertEquals(sent(world), 2L);
        assertEquals(world.rules().broken(), List.of());
    }

    private static long sent(WireWorld world) {
        return world.sentTo(-1).stream()
                .filter(one -> one instanceof Request request && request.is("INVITE"))
                .count();
    }

    private static void caught(Found found, String rule) {
        assertTrue(found.fault() != null && found.fault().startsWith("[" + rule + ": "), "" + found);
    }

    @Test
    public void aSecondAnswerIsCaught() {
        caught(
                search(
                        new Plan(false, 4, 0, 0, false, false, false),
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
                        new Plan(false, 4, 0, 0, false, false, false),
                        6,
                        RELEASE,
                        (message, to) -> to >= 3000 && message instanceof Request request && request.is("INVITE")),
                "2");
    }

    @Test
    public void aReleaseThatIsTooShortIsCaught() {
        caught(
                search(new Plan(false, 4, 0, 1, false, false, false), 6, Span.ofMillis(900), (message, to) -> false),
                "5");
    }
}
