package martenslip.platform.switchconnection;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import martenslip.sip.transport.StreamFramer;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class SwitchMessageTest {
    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }

    @Test
    public void aDescriptionPassesUnchanged() throws IOException {
        String odd = "a\r\n\"\\\u0000\u001f\u20ac\ud83d\ude00 /</script>";
        byte[] line = SwitchMessage.start("00000000000000aa", "dear", 1500, "00000000000000bb", odd);
        assertEquals(line[line.length - 1], '\n');
        assertEquals(
                SwitchMessage.read(Arrays.copyOf(line, line.length - 1)),
                new SwitchMessage("START", "00000000000000aa", null, null, 0, odd));
    }

    @Test
    public void allThatCountsIsRead() throws IOException {
        assertEquals(
                SwitchMessage.read(bytes("{\"verb\":\"FINISH\",\"tag\":\"t\",\"new\":{\"a\":[1]},\"opts\":{\"load\":"
                        + "\"x0:1\",\"note\":\"overload\",\"other\":[{}]},\"rc\":34}")),
                new SwitchMessage("FINISH", "t", "x0:1", "overload", 34, null));
    }

    @Test
    public void aStateIsKnownByItsTypeAndNotByATextThatNamesIt() {
        assertEquals(SwitchMessage.state(bytes("{\"opts\":{},\"tag\":\"0\",\"verb\":\"LOAD\"}")), true);
        byte[] line = SwitchMessage.start("00000000000000aa", "dear", 1500, "00000000000000bb", "\"verb\":\"LOAD\"");
        assertEquals(SwitchMessage.state(line), false);
    }

    @DataProvider
    public Object[][] spoilt() {
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

    @Test(dataProvider = "spoilt")
    public void whatIsSpoiltIsRefused(String line) {
        assertThrows(IOException.class, () -> SwitchMessage.read(line.getBytes(StandardCharsets.ISO_8859_1)));
    }

    private static void give(StreamFramer cutter, String text) {
        byte[] bytes = bytes(text);
        byte[] room = cutter.buffer();
        int at = cutter.position();
        while (room.length - at < bytes.length) {
            cutter.advance(room.length - at);
            room = cutter.buffer();
            cutter.advance(at - cutter.position());
        }
        System.arraycopy(bytes, 0, room, at, bytes.length);
        cutter.advance(bytes.length);
    }

    @Test
    public void linesAreCutWhereverReadsEnd() throws StreamFramer.FramingException {
        LineFramer cutter = new LineFramer();
        give(cutter, "one\ntw");
        assertEquals(new String(cutter.nextMessage()), "one");
        assertEquals(cutter.nextMessage(), null);
        give(cutter, "o\n\n");
        assertEquals(new String(cutter.nextMessage()), "two");
        assertEquals(new String(cutter.nextMessage()), "");
        assertEquals(cutter.hasPartialMessage(), false);
    }

    @Test
    public void aLineWithoutEndIsLost() {
        LineFramer cutter = new LineFramer();
        assertThrows(StreamFramer.FramingException.class, () -> {
            for (int i = 0; i < 20; i++) {
                give(cutter, "x".repeat(1000));
                cutter.nextMessage();
            }
        });
    }
}
