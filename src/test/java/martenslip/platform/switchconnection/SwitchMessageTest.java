package martenslip.platform.switchconnection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import martenslip.sip.transport.StreamFramer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Tests the JSON messages of switches and their framing into lines. */
public class SwitchMessageTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    public void descriptionIsPassedUnchanged() throws IOException {
        String description = "a\r\n\"\\\u0000\u001f\u20ac\ud83d\ude00 /</script>";
        byte[] line = SwitchMessage.encodeStart("00000000000000aa", "dear", 1500, "00000000000000bb", description);
        assertEquals(line[line.length - 1], '\n');
        assertEquals(
                SwitchMessage.parse(Arrays.copyOf(line, line.length - 1)),
                new SwitchMessage("START", "00000000000000aa", null, null, 0, description));
    }

    @Test
    public void allFieldsAreParsed() throws IOException {
        assertEquals(
                SwitchMessage.parse(bytes("{\"verb\":\"FINISH\",\"tag\":\"t\",\"new\":{\"a\":[1]},\"opts\":{\"load\":"
                        + "\"x0:1\",\"note\":\"overload\",\"other\":[{}]},\"rc\":34}")),
                new SwitchMessage("FINISH", "t", "x0:1", "overload", 34, null));
    }

    @Test
    public void loadReportIsRecognizedByItsVerbAndNotByOtherText() {
        assertEquals(SwitchMessage.isLoadReport(bytes("{\"opts\":{},\"tag\":\"0\",\"verb\":\"LOAD\"}")), true);
        byte[] line =
                SwitchMessage.encodeStart("00000000000000aa", "dear", 1500, "00000000000000bb", "\"verb\":\"LOAD\"");
        assertEquals(SwitchMessage.isLoadReport(line), false);
    }

    @DataProvider
    public Object[][] malformedMessages() {
        return new Object[][] {
            {""},
            {"{"},
            {"[]"},
            {"{}"},
            {"{\"verb\":\"LOAD\""},
            {"{\"verb\":1}"},
            {"{\"verb\":\"A\"} x"},
            {"{\"verb\":\"A\",\"blob\":{}}"},
            {"{\"verb\":\"A\",\"opts\":3}"},
            {"\u0000\u0001"},
            {"{\"verb\":\"A\",\"tag\":" + "[".repeat(100) + "}"},
            {new String(new byte[] {(byte) 0xc3, '('}, StandardCharsets.ISO_8859_1)}
        };
    }

    @Test(dataProvider = "malformedMessages")
    public void malformedMessageIsRefused(String line) {
        assertThrows(IOException.class, () -> SwitchMessage.parse(line.getBytes(StandardCharsets.ISO_8859_1)));
    }

    private static void feed(StreamFramer framer, String text) {
        byte[] bytes = bytes(text);
        byte[] buffer = framer.buffer();
        int position = framer.position();
        while (buffer.length - position < bytes.length) {
            framer.advance(buffer.length - position);
            buffer = framer.buffer();
            framer.advance(position - framer.position());
        }
        System.arraycopy(bytes, 0, buffer, position, bytes.length);
        framer.advance(bytes.length);
    }

    @Test
    public void linesAreFramedWhereverReadsEnd() throws StreamFramer.FramingException {
        LineFramer framer = new LineFramer();
        feed(framer, "one\ntw");
        assertEquals(new String(framer.nextMessage()), "one");
        assertEquals(framer.nextMessage(), null);
        feed(framer, "o\n\n");
        assertEquals(new String(framer.nextMessage()), "two");
        assertEquals(new String(framer.nextMessage()), "");
        assertEquals(framer.hasPartialMessage(), false);
    }

    @Test
    public void tooLongLineIsRefused() {
        LineFramer framer = new LineFramer();
        assertThrows(StreamFramer.FramingException.class, () -> {
            for (int i = 0; i < 20; i++) {
                feed(framer, "x".repeat(1000));
                framer.nextMessage();
            }
        });
    }
}
