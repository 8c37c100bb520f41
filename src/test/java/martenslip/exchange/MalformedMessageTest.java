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

/** Messages and notices that are cut short, out of range or no numbers: nothing throws, and each INVITE is answered. */
public class MalformedMessageTest {
    private static final String[] ODD = {
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
    private final Logger log = (Logger) LoggerFactory.getLogger("martenslip.exchange");

    @BeforeClass
    public void hush() {
        log.setLevel(Level.OFF);
    }

    @AfterClass
    public void speak() {
        log.setLevel(null);
    }

    private static SimulatedExchange world() {
        return new SimulatedExchange(
                new SimulatedExchange.Scenario(false, 4, 0, 0, false, false, false),
                Span.ofMillis(100),
                (message, to) -> false);
    }

    /** Cut short at each byte. */
    private static List<String> cut(String good) {
        List<String> all = new ArrayList<>();
        for (int length = 0; length < good.length(); length++) {
            all.add(good.substring(0, length));
        }
        return all;
    }

    private static List<String> spoilt(String good) {
        List<String> all = cut(good);
        String[] lines = good.split("\r\n", -1);
        for (int line = 0; line < lines.length && !lines[line].isEmpty(); line++) {
            int colon = line == 0 ? lines[0].indexOf(' ') : lines[line].indexOf(':');
            for (String odd : ODD) {
                String[] copy = lines.clone();
                copy[line] = lines[line].substring(0, colon + 1) + " " + odd + (line == 0 ? " SIP/2.0" : "");
                all.add(String.join("\r\n", copy));
            }
        }
        return all;
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    private static long finals(SimulatedExchange world) {
        return world.sentTo(-1).stream()
                .filter(one -> one instanceof Response response && response.status() >= 200)
                .map(one -> ((Response) one).status())
                .distinct()
                .count();
    }

    @Test
    public void eachInviteThatCanBeAnsweredGetsOneFinalAnswer() {
        Set<String> wrong = new TreeSet<>();
        for (String text : spoilt(INVITE)) {
            SimulatedExchange world = world();
            try {
                boolean request = world.arrive(bytes(text), 1000);
                world.passes(1200);
                // Without a Via that can be read there is nobody to answer; that is counted.
                if (request && text.contains("\r\nVia: SIP/2.0/") && finals(world) != 1) {
                    wrong.add(finals(world) + " answers to " + text.substring(0, Math.min(700, text.length())));
                }
            } catch (RuntimeException e) {
                wrong.add(e + " at " + e.getStackTrace()[0] + " by " + text.substring(0, Math.min(700, text.length())));
            }
        }
        assertEquals(wrong, Set.of());
    }

    /** The switch's answers: whatever they hold, the caller has one final answer when its patience is over. */
    @Test
    public void noAnswerOfASwitchCostsTheContactItsOwn() throws InvalidValueException {
        Set<String> wrong = new TreeSet<>();
        for (int status : new int[] {180, 200, 503}) {
            SimulatedExchange first = world();
            first.arrive(bytes(INVITE), 1000);
            Response good = ((Request) first.sentTo(3001).get(0)).createResponse(status, "x", "tag");
            good.headers().add("Contact", "<sip:b@127.0.0.1:3001>").add("Retry-After", "1");
            good.headers().add("Martenslip-Load", "depth=3;wait=2;spare=3;total=4");
            good.headers().add("Reason", "Q.850;cause=34;location=LN");
            for (String text : spoilt(new String(good.bytes(), StandardCharsets.UTF_8))) {
                SimulatedExchange world = world();
                try {
                    world.arrive(bytes(INVITE), 1000);
                    world.arrive(bytes(text), 3001);
                    world.passes(1200);
                    if (finals(world) != 1) {
                        wrong.add(finals(world) + " answers after " + text);
                    }
                } catch (RuntimeException e) {
                    wrong.add(e + " at " + e.getStackTrace()[0] + " by " + text);
                }
            }
        }
        assertEquals(wrong, Set.of());
    }

    private static final String LIST = """
            <switches xmlns="urn:martenslip:switches:1" version="3" extent="full">
            <switch uri="sip:127.0.0.1:3001" number="1" region="r" state="ready" started="2026-12-01T10:00:00Z"/>
            </switches>""";
    private static final String CIRCUITS = """
            <circuits xmlns="urn:martenslip:switches:1" version="3" extent="full">
            <group name="g1" total="4" free="2"/></circuits>""";

    @Test
    public void noticesAreReadOrRefusedWithAReason() {
        EventPackageCodec text = new EventPackageCodec(List.of("r"), new Moment(0), Instant.EPOCH);
        Set<String> wrong = new TreeSet<>();
        int refused = 0;
        for (String good : new String[] {LIST, CIRCUITS}) {
            for (String bad : attributes(good)) {
                try {
                    if (good == LIST) {
                        text.parseSwitchList(bytes(bad));
                    } else {
                        text.parseCircuitList(bytes(bad));
                    }
                } catch (InvalidFileException | InvalidValueException e) {
                    refused += e.getMessage().isBlank() ? 0 : 1;
                } catch (RuntimeException e) {
                    wrong.add(e + " at " + e.getStackTrace()[0] + " by " + bad);
                }
            }
        }
        assertEquals(wrong, Set.of());
        assertEquals(refused > 400, true, "" + refused);
    }

    private static List<String> attributes(String good) {
        List<String> all = cut(good);
        for (int from = good.indexOf("=\""); from > 0; from = good.indexOf("=\"", from + 1)) {
            int to = good.indexOf('"', from + 2);
            for (String odd : new String[] {
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
                all.add(good.substring(0, from + 2) + odd + good.substring(to));
            }
        }
        return all;
    }
}
