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

/** Encoding and decoding of the simulator protocol, with records given in hexadecimal. */
public class SimulatorProtocolTest {
    private static byte[] hex(String text) {
        return HexFormat.of().parseHex(text.replace(" ", ""));
    }

    private static byte[] batch(byte[]... records) {
        int length = 0;
        for (byte[] record : records) {
            length += record.length;
        }
        ByteBuffer bytes =
                ByteBuffer.allocate(16 + length).putInt(1).putInt(length).putLong(1_000_000_000L);
        for (byte[] record : records) {
            bytes.put(record);
        }
        return bytes.array();
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

    private static byte[] replyTo(byte[] input) throws Exception {
        ByteArrayOutputStream output = new ByteArrayOutputStream();
        new SimulatorProtocol(new ByteArrayInputStream(input), output, RoutingPolicy::new).run();
        return output.toByteArray();
    }

    /** Offers a contact for destination 57 to instance 3. */
    private static final byte[] CONTACT_RECORD = hex("03fc 00000003 000517755d3a91c4 0000000000b71b00 91f03b7c55d20a64"
            + "43800000 3f800000 000000000e4e1c00 0000 00 42640000 0001");

    @Test
    public void emptyBatchGetsEmptyReply() throws Exception {
        assertEquals(replyTo(batch()), hex("00000001 00000000 00000000"));
    }

    @Test
    public void defersContactWithoutKnownSwitch() throws Exception {
        byte[] reply = replyTo(batch(startRecord("classes.count=1\nunknown-name=7\n"), CONTACT_RECORD));
        String replyHex = HexFormat.of().formatHex(reply);
        assertTrue(replyHex.contains("03f200000003000517755d3a91c4"), replyHex);
    }

    @Test
    public void readsPeerNoteLengthFromTwoBytes() throws Exception {
        byte[] noteRecord = hex("0438 00000003 00000002 0003 000201");
        assertEquals(replyTo(batch(startRecord("classes.count=1\n"), noteRecord)), hex("00000001 00000000 00000000"));
    }

    @Test
    public void encodesDirectRing() throws Exception {
        byte[] switchListRecord = hex("044c 0000 00000001 3f800000 00 02 0a9011f2 2bec 0000 0000000000000000 0039");
        byte[] deliverListRecord = hex("03f2 00000003 0000 00000029 02");
        byte[] reportRecord = hex("042e 00000003 00 0a9011f2 2bec 0000000000000000 02 41200000 41a00000");
        byte[] reply = replyTo(batch(
                startRecord("classes.count=1\npolicy-limits.send-cap=2\n"),
                switchListRecord,
                deliverListRecord,
                reportRecord,
                CONTACT_RECORD));
        String replyHex = HexFormat.of().formatHex(reply);
        assertTrue(replyHex.contains("03e800000003000517755d3a91c40a9011f22bec"), replyHex);
    }

    @Test
    public void stoppedInstanceReceivesNoEvents() throws Exception {
        byte[] reply = replyTo(batch(startRecord("classes.count=1\n"), hex("0442 00000003"), CONTACT_RECORD));
        assertEquals(reply, hex("00000001 00000000 00000000"));
    }

    @Test
    public void rejectsMalformedInput() {
        assertThrows(MalformedInputException.class, () -> replyTo(hex("0000000100000008")));
        assertThrows(MalformedInputException.class, () -> replyTo(batch(hex("270f 00000003"))));
        assertThrows(MalformedInputException.class, () -> replyTo(batch(hex("0424 00000003 0000"))));
        assertThrows(MalformedInputException.class, () -> replyTo(batch(hex("044c 0010 00000000"))));
        assertThrows(MalformedInputException.class, () -> replyTo(batch(hex("044c 0000 7fffffff"))));
        assertThrows(MalformedInputException.class, () -> replyTo(batch(startRecord("no equals sign here"))));
    }

    @Test
    public void reportsFailedStartOfInstance() throws Exception {
        byte[] reply = replyTo(batch(startRecord("classes.count=many\n")));
        assertEquals(ByteBuffer.wrap(reply).getShort(12), 1090);
    }
}
