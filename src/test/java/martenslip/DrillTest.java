package martenslip;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.HexFormat;
import martenslip.simulatorprotocol.MalformedInputException;
import martenslip.simulatorprotocol.SimulatorProtocol;
import org.testng.annotations.Test;

/** The simulator protocol, byte for byte, with the real module behind it. */
public class DrillTest {
    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replace(" ", ""));
    }

    private static byte[] batch(byte[]... records) {
        int length = 0;
        for (byte[] record : records) {
            length += record.length;
        }
        ByteBuffer buffer =
                ByteBuffer.allocate(16 + length).putInt(1).putInt(length).putLong(1_000_000_000L);
        for (byte[] record : records) {
            buffer.put(record);
        }
        return buffer.array();
    }

    private static byte[] startRecord(String settings) {
        byte[] text = settings.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(18 + text.length)
                .putShort((short) 1000)
                .putInt(3)
                .putLong(5)
                .putInt(text.length)
                .put(text)
                .array();
    }

    private static byte[] reply(byte[] input) throws Exception {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        new SimulatorProtocol(new ByteArrayInputStream(input), out, RoutingPolicy::new).run();
        return out.toByteArray();
    }

    private static final byte[] CONTACT = hex("03fc 00000003 000517755d3a91c4 0000000000b71b00 91f03b7c55d20a64"
            + "43800000 3f800000 000000000e4e1c00 0000 00 42640000 0001");

    @Test
    public void emptyBatchGetsEmptyReply() throws Exception {
        assertEquals(reply(batch()), hex("00000001 00000000 00000000"));
    }

    @Test
    public void contactForUnknownSwitchIsDeferred() throws Exception {
        byte[] reply = reply(batch(startRecord("classes.count=1\nunheard-of=7\n"), CONTACT));
        String text = HexFormat.of().formatHex(reply);
        assertTrue(text.contains("03f200000003000517755d3a91c4"), text);
    }

    @Test
    public void peerNoteLengthTakesTwoBytes() throws Exception {
        byte[] note = hex("0438 00000003 00000002 0003 000201");
        assertEquals(reply(batch(startRecord("classes.count=1\n"), note)), hex("00000001 00000000 00000000"));
    }

    @Test
    public void directRingIsEncodedAsAttempt() throws Exception {
        byte[] lines = hex("044c 0000 00000001 3f800000 00 02 0a9011f2 2bec 0000 0000000000000000 0039");
        byte[] listed = hex("03f2 00000003 0000 00000029 02");
        byte[] group = hex("042e 00000003 00 0a9011f2 2bec 0000000000000000 02 41200000 41a00000");
        byte[] reply =
                reply(batch(startRecord("classes.count=1\npolicy-limits.send-cap=2\n"), lines, listed, group, CONTACT));
        String text = HexFormat.of().formatHex(reply);
        assertTrue(text.contains("03e800000003000517755d3a91c40a9011f22bec"), text);
    }

    @Test
    public void stoppedInstanceReceivesNoEvents() throws Exception {
        byte[] reply = reply(batch(startRecord("classes.count=1\n"), hex("0442 00000003"), CONTACT));
        assertEquals(reply, hex("00000001 00000000 00000000"));
    }

    @Test
    public void malformedInputIsRejected() {
        assertThrows(MalformedInputException.class, () -> reply(hex("0000000100000008")));
        assertThrows(MalformedInputException.class, () -> reply(batch(hex("270f 00000003"))));
        assertThrows(MalformedInputException.class, () -> reply(batch(hex("0424 00000003 0000"))));
        assertThrows(MalformedInputException.class, () -> reply(batch(hex("044c 0010 00000000"))));
        assertThrows(MalformedInputException.class, () -> reply(batch(hex("044c 0000 7fffffff"))));
        assertThrows(MalformedInputException.class, () -> reply(batch(startRecord("no equals sign here"))));
    }

    @Test
    public void moduleFaultIsReportedForItsInstance() throws Exception {
        byte[] reply = reply(batch(startRecord("classes.count=many\n")));
        assertEquals(ByteBuffer.wrap(reply).getShort(12), 1090);
    }
}
