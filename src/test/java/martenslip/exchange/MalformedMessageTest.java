package martenslip.exchange;

import static org.testng.Assert.assertEquals;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import martenslip.configuration.InvalidFileException;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.signaling.EventPackageCodec;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import org.slf4j.LoggerFactory;
import org.testng.annotations.AfterClass;
import org.testng.annotations.BeforeClass;
import org.testng.annotations.Test;

/**
 * Sends messages and notifications that are truncated or have invalid values: nothing may throw, and each INVITE must
 * get one final answer.
 */
public class MalformedMessageTest {
    private static final String[] INVALID_VALUES = {
        "",
        " ",
        "x",
        "-1",
        "0",
        "1.5",
        "99999999999999999999",
        "<",
        "\"",
        ";",
        ";;=;",
        "sip:",
        "<sip:>",
        "<sip:a@>",
        "<sip:%zz@127.0.0.1>",
        "1 2 3",
        "*",
        "%",
        "\u0000",
        "\u00e9",
        "a,b,,c",
        "tel:+1555",
        "<sip:+1555;tgrp=;trunk-context=@127.0.0.1:1>",
        "<sip:+1555@127.0.0.1:99999>;tag=a;tag=b",
        "<sip:x@no.such.host.invalid>;tag=a",
        "a".repeat(9000)
    };
    static final String INVITE = """
            INVITE sip:+1555@127.0.0.1:2000 SIP/2.0
            Via: SIP/2.0/UDP 127.0.0.1:1000;branch=z9hG4bKa;rport
            Max-Forwards: 70
            From: <sip:a@127.0.0.1>;tag=f
            To: <sip:+1555@127.0.0.1>
            Call-ID: contact
            CSeq: 1 INVITE
            Contact: <sip:a@127.0.0.1:1000>
            Session-ID: session
            Expires: 1
            Martenslip-Patience: 1000
            Martenslip-Again: redial
            Resource-Priority: q735.1
            Record-Route: <sip:127.0.0.1:1000;lr>
            Reason: Q.850;cause=16
            Content-Type: text/plain
            Content-Length: 4

            body""".replace("\n", "\r\n");
    private final Logger logger = (Logger) LoggerFactory.getLogger("martenslip.exchange");

    @BeforeClass
    public void silenceLog() {
        logger.setLevel(Level.OFF);
    }

    @AfterClass
    public void restoreLog() {
        logger.setLevel(null);
    }

    private static SimulatedExchange newExchange() {
        return new SimulatedExchange(
                new SimulatedExchange.Scenario(false, 4, 0, 0, false, false, false),
                Span.ofMillis(100),
                (message, receiverPort) -> false);
    }

    /** The text truncated at each character. */
    private static List<String> truncations(String valid) {
        List<String> variants = new ArrayList<>();
        for (int length = 0; length < valid.length(); length++) {
            variants.add(valid.substring(0, length));
        }
        return variants;
    }

    /** The message truncated at each character, and with each header value replaced by each invalid value. */
    private static List<String> malformedVariants(String valid) {
        List<String> variants = truncations(valid);
        String[] lines = valid.split("\r\n", -1);
        for (int lineIndex = 0; lineIndex < lines.length && !lines[lineIndex].isEmpty(); lineIndex++) {
            int colon = lineIndex == 0 ? lines[0].indexOf(' ') : lines[lineIndex].indexOf(':');
            for (String value : INVALID_VALUES) {
                String[] copy = lines.clone();
                copy[lineIndex] =
                        lines[lineIndex].substring(0, colon + 1) + " " + value + (lineIndex == 0 ? " SIP/2.0" : "");
                variants.add(String.join("\r\n", copy));
            }
        }
        return variants;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    /** Number of different final status codes that the exchange has sent. */
    private static long finalStatusCount(SimulatedExchange exchange) {
        return exchange.sentTo(-1).stream()
                .filter(message -> message instanceof Response response && response.status() >= 200)
                .map(message -> ((Response) message).status())
                .distinct()
                .count();
    }

    @Test
    public void eachAnswerableInviteGetsOneFinalAnswer() {
        Set<String> failures = new TreeSet<>();
        for (String text : malformedVariants(INVITE)) {
            SimulatedExchange exchange = newExchange();
            try {
                boolean isRequest = exchange.receive(bytes(text), 1000);
                exchange.advanceMillis(1200);
                // Without a valid Via nobody can be answered; the exchange counts such requests.
                if (isRequest && text.contains("\r\nVia: SIP/2.0/") && finalStatusCount(exchange) != 1) {
                    failures.add(finalStatusCount(exchange) + " answers to "
                            + text.substring(0, Math.min(700, text.length())));
                }
            } catch (RuntimeException e) {
                failures.add(
                        e + " at " + e.getStackTrace()[0] + " by " + text.substring(0, Math.min(700, text.length())));
            }
        }
        assertEquals(failures, Set.of());
    }

    /** Whatever the responses of a switch contain, the caller has one final answer when its patience is over. */
    @Test
    public void malformedSwitchResponsesDoNotPreventTheFinalAnswer() throws InvalidValueException {
        Set<String> failures = new TreeSet<>();
        for (int status : new int[] {180, 200, 503}) {
            SimulatedExchange templateExchange = newExchange();
            templateExchange.receive(bytes(INVITE), 1000);
            Response validResponse =
                    ((Request) templateExchange.sentTo(3001).get(0)).createResponse(status, "x", "tag");
            validResponse.headers().add("Contact", "<sip:b@127.0.0.1:3001>").add("Retry-After", "1");
            validResponse.headers().add("Martenslip-Load", "depth=3;wait=2;spare=3;total=4");
            validResponse.headers().add("Reason", "Q.850;cause=34;location=LN");
            for (String text : malformedVariants(new String(validResponse.bytes(), StandardCharsets.UTF_8))) {
                SimulatedExchange exchange = newExchange();
                try {
                    exchange.receive(bytes(INVITE), 1000);
                    exchange.receive(bytes(text), 3001);
                    exchange.advanceMillis(1200);
                    if (finalStatusCount(exchange) != 1) {
                        failures.add(finalStatusCount(exchange) + " answers after " + text);
                    }
                } catch (RuntimeException e) {
                    failures.add(e + " at " + e.getStackTrace()[0] + " by " + text);
                }
            }
        }
        assertEquals(failures, Set.of());
    }

    private static final String SWITCH_LIST = """
            <switches xmlns="urn:martenslip:switches:1" version="3" extent="full">
            <switch uri="sip:127.0.0.1:3001" number="1" region="r" state="ready" started="2026-12-01T10:00:00Z"/>
            </switches>""";
    private static final String CIRCUITS = """
            <circuits xmlns="urn:martenslip:switches:1" version="3" extent="full">
            <group name="g1" total="4" free="2"/></circuits>""";

    @Test
    public void notificationsAreParsedOrRefusedWithAReason() {
        EventPackageCodec codec = new EventPackageCodec(List.of("r"), new Moment(0), Instant.EPOCH);
        Set<String> failures = new TreeSet<>();
        int refusedCount = 0;
        for (String valid : new String[] {SWITCH_LIST, CIRCUITS}) {
            for (String malformed : malformedAttributes(valid)) {
                try {
                    if (valid == SWITCH_LIST) {
                        codec.parseSwitchList(bytes(malformed));
                    } else {
                        codec.parseCircuitList(bytes(malformed));
                    }
                } catch (InvalidFileException | InvalidValueException e) {
                    refusedCount += e.getMessage().isBlank() ? 0 : 1;
                } catch (RuntimeException e) {
                    failures.add(e + " at " + e.getStackTrace()[0] + " by " + malformed);
                }
            }
        }
        assertEquals(failures, Set.of());
        assertEquals(refusedCount > 400, true, "" + refusedCount);
    }

    /** The XML body truncated at each character, and with each attribute replaced by each invalid value. */
    private static List<String> malformedAttributes(String valid) {
        List<String> variants = truncations(valid);
        for (int valueStart = valid.indexOf("=\""); valueStart > 0; valueStart = valid.indexOf("=\"", valueStart + 1)) {
            int valueEnd = valid.indexOf('"', valueStart + 2);
            for (String value : new String[] {
                "",
                "-1",
                "1.5",
                "NaN",
                "65535",
                "65536",
                "99999999999999999999",
                "sip:",
                "sip:[::1]:5",
                "sip:127.0.0.1:0",
                "sip:127.0.0.1:99999",
                "sips:127.0.0.1",
                "none",
                "-9999-01-01T00:00:00Z",
                "999999999-12-31T24:00:00Z",
                "2026-12-01T10:00:00",
                "2026-12-01T24:00:00Z"
            }) {
                variants.add(valid.substring(0, valueStart + 2) + value + valid.substring(valueEnd));
            }
        }
        return variants;
    }
}
