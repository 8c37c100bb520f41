package martenslip.sip.transport;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertThrows;

import java.nio.charset.StandardCharsets;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Strict framing: start lines are checked as soon as a part of them has been received. */
public class ContentLengthFramerTest {
    private static final String HEADERS = "OPTIONS sip:ping@net SIP/2.0\r\nContent-Length: 2\r\n\r\n";

    private static ContentLengthFramer framerWith(String text) {
        ContentLengthFramer framer = new ContentLengthFramer(4096, 2048, true);
        byte[] bytes = text.getBytes(StandardCharsets.ISO_8859_1);
        System.arraycopy(bytes, 0, framer.buffer(), 0, bytes.length);
        framer.advance(bytes.length);
        return framer;
    }

    /** Bytes after a body that is longer than its Content-Length are detected before a whole line has arrived. */
    @DataProvider
    public Object[][] invalidStartLines() {
        return new Object[][] {
            {"m=audio 31000"},
            {"\r\nm=audio 31000 RTP/AVP"},
            {"0 8 101\r\n"},
            {"SAY SIP\r\n"},
            {"\u0000\u0001"},
            {"invite sip:x SIP/2.0\r\n"},
            {"SIP/3.0 200 OK\r\n"},
            {"A".repeat(40)}
        };
    }

    @Test(dataProvider = "invalidStartLines")
    public void invalidStartLineEndsStream(String rest) throws StreamFramer.FramingException {
        ContentLengthFramer framer = framerWith(HEADERS + "ab" + rest);
        assertNotNull(framer.nextMessage());
        assertThrows(StreamFramer.FramingException.class, framer::nextMessage);
    }

    @DataProvider
    public Object[][] partialMessages() {
        return new Object[][] {
            {"S"},
            {"SIP/2"},
            {"SIP/2.0 200 OK\r\nA: b"},
            {"INV"},
            {"INVITE sip:x"},
            {"\r\n\r\n"},
            {"BYE sip:x SIP/2.0\r\nCall-"},
            {""}
        };
    }

    @Test(dataProvider = "partialMessages")
    public void partialMessageIsAwaited(String rest) throws StreamFramer.FramingException {
        ContentLengthFramer framer = framerWith(HEADERS + "ab" + rest);
        assertEquals(framer.nextMessage().length, HEADERS.length() + 2);
        assertEquals(framer.nextMessage(), null);
    }
}
