package martenslip.exchange;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.nio.charset.StandardCharsets;
import martenslip.control.Span;
import martenslip.signaling.ExtensionHeaders;
import martenslip.sip.message.Request;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/** The caller's patience counts from the receipt of its INVITE, not from when a stalled thread's successor takes it. */
public class InvitePatienceTest {
    private static final int PATIENCE_MS = 1000;
    private static final int WAITED_MS = 600;

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

    /** The patience that the first ring tells its switch, for an INVITE that waited this long. */
    private static int patienceOfRing(int waitedMs) {
        SimulatedExchange exchange = new SimulatedExchange(
                new SimulatedExchange.Scenario(false, 4, 0, 0, false, false, false),
                Span.ofMillis(100),
                (message, receiverPort) -> false);
        exchange.advanceMillis(2000);
        exchange.receive(INVITE.getBytes(StandardCharsets.UTF_8), 1000, exchange.nowMinusMillis(waitedMs));
        Request ring = (Request) exchange.sentTo(3001).get(0);
        return Integer.parseInt(ring.headers().first(ExtensionHeaders.PATIENCE));
    }

    @Test
    public void anInviteThatWaitedForItsThreadRingsForTheRestOfThePatience() {
        int patienceMs = patienceOfRing(WAITED_MS);
        assertTrue(patienceMs > 0 && patienceMs <= PATIENCE_MS - WAITED_MS, "rings for " + patienceMs + " ms");
        assertEquals(patienceOfRing(0) - patienceMs, WAITED_MS, "exactly the time waited is taken off");
    }
}
