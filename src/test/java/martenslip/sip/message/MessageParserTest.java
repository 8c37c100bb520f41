package martenslip.sip.message;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Parsing, checking and writing of messages and their typed header values. */
public class MessageParserTest {
    private static final String MANDATORY_HEADERS =
            "Via: SIP/2.0/UDP 127.0.0.1:5060;branch=z9hG4bKa\r\nFrom: <sip:a@127.0.0.1>;tag=f\r\n"
                    + "To: <sip:b@127.0.0.1>\r\nCall-ID: c@127.0.0.1\r\nCSeq: 1 INVITE\r\n";

    private static ParseResult parse(String text) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        return MessageParser.parse(bytes, bytes.length);
    }

    private static ParseResult invite(String extraHeaders) {
        return parse("INVITE sip:b@127.0.0.1 SIP/2.0\r\n" + MANDATORY_HEADERS + extraHeaders + "\r\n");
    }

    @Test
    public void parsesCompactFoldedAndCommaSeparatedFields() throws InvalidValueException {
        ParseResult parsed = parse(
                "INVITE sip:b%40x@[::1]:5070;lr;x=y?Subject=hi SIP/2.0\r\n"
                        + "v: SIP / 2.0 / UDP 10.0.0.1 ;branch=z9hG4bKa,SIP/2.0/TCP\r\n [::2]:99;branch=z9hG4bKb;rport\r\n"
                        + "f: \"A \\\"quoted, <name>\" <sip:a@h;p=1>;tag=f\r\nt: sip:b@h;tag=t\r\ni: c\r\nCSeq:  7\tINVITE\r\n"
                        + "m: <sip:a@h?X=1,2>;q=0.5, \"x, y\" <sip:z@h>\r\nX-Odd: kept, as it is\r\nk: a, b ,c\r\nl: 4\r\n\r\nbodyrest");
        assertTrue(parsed.isValid(), parsed.fault());
        Request request = (Request) parsed.message();
        assertEquals(request.parsedUri().unescapedUser(), "b@x");
        assertEquals(request.parsedUri().hostPort(), new HostPort("[::1]", 5070));
        assertEquals(request.parsedUri().headers(), "Subject=hi");
        assertEquals(request.headers().all("Via").size(), 2);
        assertEquals(request.via().branch(), "z9hG4bKa");
        assertEquals(request.via().sentBy().port(), -1);
        assertEquals(Via.parse(request.headers().all("Via").get(1)).sentBy().hostWithoutBrackets(), "::2");
        assertEquals(request.from().tag(), "f");
        assertEquals(request.from().uri(), "sip:a@h;p=1");
        assertEquals(request.to().tag(), "t");
        assertEquals(request.cseq(), new CSeq(7, "INVITE"));
        assertEquals(request.headers().all("Contact"), List.of("<sip:a@h?X=1,2>;q=0.5", "\"x, y\" <sip:z@h>"));
        assertEquals(request.headers().all("Supported"), List.of("a", "b", "c"));
        assertEquals(request.headers().first("X-Odd"), "kept, as it is");
        assertEquals(new String(request.body(), StandardCharsets.US_ASCII), "body");
    }

    @DataProvider
    public Object[][] invalidRequests() {
        String longHeader = "X: " + "y".repeat(MessageParser.MAX_LINE_BYTES + 1) + "\r\n";
        return new Object[][] {
            {"INVITE sip:b@h SIP/3.0\r\n" + MANDATORY_HEADERS + "\r\n", 505},
            {"INVITE tel:123 SIP/2.0\r\n" + MANDATORY_HEADERS + "\r\n", 416},
            {"INVITE sip:b@ho st SIP/2.0\r\n" + MANDATORY_HEADERS + "\r\n", 400},
            {"INVITE sip:b@:::: SIP/2.0\r\n" + MANDATORY_HEADERS + "\r\n", 400},
            {"BYE sip:b@h SIP/2.0\r\n" + MANDATORY_HEADERS + "\r\n", 400},
            {"INVITE sip:b@h SIP/2.0\r\n" + MANDATORY_HEADERS + "Content-Length: 9\r\n\r\nshort", 400},
            {"INVITE sip:b@h SIP/2.0\r\n" + MANDATORY_HEADERS + "Content-Length: -1\r\n\r\n", 400},
            {"INVITE sip:b@h SIP/2.0\r\n" + MANDATORY_HEADERS + "Content-Length: 99999\r\n\r\n", 413},
            {"INVITE sip:b@h SIP/2.0\r\n" + MANDATORY_HEADERS + "Call-ID: second\r\n\r\n", 400},
            {"INVITE sip:b@h SIP/2.0\r\n" + MANDATORY_HEADERS + "Max-Forwards: 256\r\n\r\n", 400},
            {"INVITE sip:b@h SIP/2.0\r\n" + MANDATORY_HEADERS + "Expires: soon\r\n\r\n", 400},
            {"INVITE sip:b@h SIP/2.0\r\n" + MANDATORY_HEADERS + "no colon here\r\n\r\n", 400},
            {"INVITE sip:b@h SIP/2.0\r\n" + MANDATORY_HEADERS + "Contact: \"open <sip:a@h>\r\n\r\n", 400},
            {"INVITE sip:b@h SIP/2.0\r\n" + MANDATORY_HEADERS + "Route: <sip:a@h\r\n\r\n", 400},
            {"INVITE sip:b@h SIP/2.0\r\n" + MANDATORY_HEADERS + "Require: a,,b\r\n\r\n", 400},
            {"INVITE sip:b@h SIP/2.0\r\n" + MANDATORY_HEADERS + longHeader + "\r\n", 400},
            {"INVITE sip:b@h SIP/2.0\r\n" + MANDATORY_HEADERS + "A: b\r\n".repeat(MessageParser.MAX_LINES) + "\r\n", 400
            },
        };
    }

    @Test(dataProvider = "invalidRequests")
    public void invalidRequestIsAnswerable(String text, int status) {
        ParseResult parsed = parse(text);
        assertEquals(parsed.status(), status, parsed.fault());
        assertTrue(parsed.isAnswerable());
        assertFalse(parsed.fault().isEmpty());
    }

    @Test
    public void unanswerableInputGivesNoMessage() {
        assertNull(parse("").message());
        assertNull(parse("\r\n\r\n").message());
        assertNull(parse("nonsense\r\n\r\n").message());
        assertNull(parse("INVITE sip:b@h SIP/2.0\r\n\r\n").message());
        assertNull(parse("INVITE sip:b@h HTTP/1.1\r\n" + MANDATORY_HEADERS + "\r\n")
                .message());
        assertNull(parse("SIP/2.0 99 Low\r\n" + MANDATORY_HEADERS + "\r\n").message());
        assertNull(parse("SIP/2.0 abc\r\n" + MANDATORY_HEADERS + "\r\n").message());
        assertFalse(parse("ACK tel:1 SIP/2.0\r\n" + MANDATORY_HEADERS.replace("INVITE", "ACK") + "\r\n")
                .isAnswerable());
    }

    @Test
    public void responseMayHaveNoReasonPhrase() {
        Response response =
                (Response) parse("SIP/2.0 200\r\n" + MANDATORY_HEADERS + "\r\n").message();
        assertEquals(response.status(), 200);
        assertEquals(response.reason(), "");
    }

    @Test
    public void serializingAndParsingAgainChangesNothing() {
        byte[] first = invite("Contact: <sip:a@h;transport=tcp>\r\nX-Odd: one\r\nX-Odd: two\r\n")
                .message()
                .bytes();
        byte[] second = MessageParser.parse(first, first.length).message().bytes();
        assertEquals(new String(second, StandardCharsets.UTF_8), new String(first, StandardCharsets.UTF_8));
    }

    /** Input damaged in any way gives a parse result, never an exception. */
    @Test
    public void damagedInputNeverThrows() {
        SplittableRandom random = new SplittableRandom(11);
        byte[] validMessage = invite("Contact: \"q\" <sip:a@[::1]:9;x=1>;q=1\r\nRoute: <sip:r@h;lr>\r\nl: 3\r\n\r\nxyz")
                .message()
                .bytes();
        for (int i = 0; i < 30_000; i++) {
            byte[] bytes = validMessage.clone();
            int length = random.nextInt(10) == 0 ? random.nextInt(validMessage.length) : validMessage.length;
            for (int remaining = random.nextInt(6); remaining >= 0; remaining--) {
                bytes[random.nextInt(bytes.length)] = (byte)
                        (random.nextInt(3) == 0 ? "\r\n\";<>,:[]@ =".charAt(random.nextInt(12)) : random.nextInt(256));
            }
            ParseResult parsed = MessageParser.parse(bytes, length);
            assertTrue(parsed.isValid() || parsed.status() != 0);
            if (parsed.isValid()) {
                assertNotNull(parsed.message().bytes());
            }
        }
    }

    @Test
    public void responseCopiesHeadersOfRequest() throws InvalidValueException {
        Request request = (Request) invite("Record-Route: <sip:p@h;lr>\r\n").message();
        Response response = request.createResponse(180, "Ringing", "tag9");
        assertEquals(response.to().tag(), "tag9");
        assertEquals(response.headers().all("Record-Route").size(), 1);
        assertEquals(response.via(), request.via());
        assertEquals(
                request.createResponse(404, "No", "x")
                        .headers()
                        .all("Record-Route")
                        .size(),
                0);
    }

    @Test
    public void trunkGroupIsReadFromUserPart() throws InvalidValueException {
        SipUri uri = SipUri.parse("sip:+914845500001;tgrp=g-0-1;trunk-context=returns.example@127.0.0.1:5060");
        assertEquals(uri.unescapedUser(), "+914845500001");
        assertEquals(uri.userParameter("tgrp"), "g-0-1");
        assertEquals(uri.userParameter("trunk-context"), "returns.example");
        assertNull(uri.userParameter("none"));
    }

    /** Guards against report 9d16c4, picture (b): a line of 8 KB with a value each two bytes became thousands of fields. */
    @Test
    public void aHeadOfTooManyValuesIsInvalidAndNotKept() {
        String message = "OPTIONS sip:ping@net SIP/2.0\r\nCall-ID: t\r\nCSeq: 1 OPTIONS\r\nVia: " + "a,".repeat(4000)
                + "a\r\nContent-Length: 0\r\n\r\n";
        byte[] bytes = message.getBytes(StandardCharsets.US_ASCII);
        ParseResult parsed = MessageParser.parseMinimal(bytes, bytes.length);
        assertEquals(parsed.fault(), "over 256 header values");
        assertTrue(parsed.message().headers().count() <= MessageParser.MAX_VALUES + 1);
    }
}
