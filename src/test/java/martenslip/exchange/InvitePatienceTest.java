package martenslip.exchange;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.nio.charset.StandardCharsets;
import java.util.List;
import martenslip.control.Span;
import martenslip.sip.message.Response;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** The caller's patience counts from the receipt of its INVITE, not from when a stalled thread's successor takes it. */
public class InvitePatienceTest {
    private static final int PATIENCE_MS = 1000;
    private static final int WAITED_MS = 600;
    /** The rules allow an answer this long after the patience (rule 1, one answer in time). */
    private static final int SLACK_MS = 50;

    private static final String INVITE = """
            INVITE sip:+1555@127.0.0.1 SIP/2.0
            Via: SIP/2.0/UDP 127.0.0.1:1000;branch=z9hG4bKa;rport
            Max-Forwards: 70
            From: <sip:a@127.0.0.1>;tag=f
            To: <sip:+1555@127.0.0.1>
            Call-ID: contact
            CSeq: 1 INVITE
            Contact: <sip:a@127.0.0.1:1000>
            Martenslip-Patience: 1000
            Content-Length: 0

            """.replace("\n", "\r\n");

    private final Logger logger = (Logger) LoggerFactory.getLogger("martenslip.exchange");

    @BeforeClass
    public void silenceLog() {
        logger.setLevel(Level.OFF);
    }

    @AfterClass
    public void restoreLog() {
        logger.setLevel(null);
    }

    private static List<Integer> finalStatuses(SimulatedExchange exchange) {
        return exchange.sentTo(1000).stream()
                .filter(message -> message instanceof Response)
                .map(message -> ((Response) message).status())
                .filter(status -> status >= 200)
                .toList();
    }

    @Test
    public void anInviteThatWaitedForItsThreadIsAnsweredWithinThePatienceOfItsCaller() {
        SimulatedExchange exchange = new SimulatedExchange(
                new SimulatedExchange.Scenario(false, 4, 0, 0, false, false, false),
                Span.ofMillis(100),
                (message, receiverPort) -> false);
        exchange.advanceMillis(2000);
        exchange.receive(INVITE.getBytes(StandardCharsets.UTF_8), 1000, exchange.nowMinusMillis(WAITED_MS));
        assertEquals(finalStatuses(exchange), List.of(), "the switch has not answered yet");
        exchange.advanceMillis(PATIENCE_MS - WAITED_MS + SLACK_MS);
        assertTrue(!finalStatuses(exchange).isEmpty(), "no final answer in time");
    }
}
