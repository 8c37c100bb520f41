package martenslip.simulatorprotocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import martenslip.control.Orders;
import martenslip.control.Span;

/**
 * Encodes one reply: a header of batch number, record count and length in bytes, then a record for each action that a
 * controller ordered. A record starts with its code (two bytes) and the instance (four bytes).
 */
final class ReplyWriter {
    private static final int HEADER_BYTES = 12;
    private static final int RECORD_PREFIX_BYTES = 6;
    /** The length of a text is encoded in two bytes. */
    private static final int MAX_TEXT_BYTES = 0xffff;

    private static final int RING_RECORD = 1000;
    private static final int DEFER_RECORD = 1010;
    private static final int ABANDON_RECORD = 1020;
    private static final int CANCEL_RECORD = 1030;
    private static final int START_TIMER_RECORD = 1040;
    private static final int PROBE_RECORD = 1050;
    private static final int NOTE_RECORD = 1070;
    private static final int LOG_RECORD = 1080;
    private static final int FAULT_RECORD = 1090;
    private static final int WATCH_SWITCH_LIST_RECORD = 1100;

    private ByteBuffer buffer = ByteBuffer.allocate(1 << 16);
    private int recordCount;

    void begin() {
        buffer.clear().position(HEADER_BYTES);
        recordCount = 0;
    }

    /** Completes the header and returns the buffer, ready to be read; it is valid until the next reply begins. */
    ByteBuffer finish(int batchNumber) {
        int bodyLength = buffer.position() - HEADER_BYTES;
        buffer.putInt(0, batchNumber).putInt(4, recordCount).putInt(8, bodyLength);
        return buffer.flip();
    }

    /** Writes the code and instance of a record, and makes room for a payload of the given length in bytes. */
    private ByteBuffer beginRecord(int code, int instance, int payloadLength) {
        if (buffer.remaining() < payloadLength + RECORD_PREFIX_BYTES) {
            ByteBuffer larger = ByteBuffer.allocate(
                    Math.max(buffer.capacity() * 2, buffer.position() + payloadLength + RECORD_PREFIX_BYTES));
            buffer.flip();
            buffer = larger.put(buffer);
        }
        recordCount++;
        return buffer.putShort((short) code).putInt(instance);
    }

    private void writeText(int code, int instance, String line) {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        byte[] truncated = bytes.length > MAX_TEXT_BYTES ? Arrays.copyOf(bytes, MAX_TEXT_BYTES) : bytes;
        beginRecord(code, instance, 2 + truncated.length)
                .putShort((short) truncated.length)
                .put(truncated);
    }

    /** Reports that the instance failed; it receives no further events. */
    void writeFault(int instance, String line) {
        writeText(FAULT_RECORD, instance, line);
    }

    /** Returns the orders of one instance; each call appends a record to the current reply. */
    Orders orders(int instance) {
        return new Orders() {
            @Override
            public void ring(long contact, long target, Span limit) {
                beginRecord(RING_RECORD, instance, 22)
                        .putLong(contact)
                        .putInt((int) (target >>> 16))
                        .putShort((short) target)
                        .putLong(limit.ns());
            }

            @Override
            public void cancel(long contact, int ringNumber) {
                beginRecord(CANCEL_RECORD, instance, 10).putLong(contact).putShort((short) ringNumber);
            }

            @Override
            public void defer(long contact, Span retryAfter) {
                beginRecord(DEFER_RECORD, instance, 16).putLong(contact).putLong(retryAfter.ns());
            }

            @Override
            public void abandon(long contact) {
                beginRecord(ABANDON_RECORD, instance, 8).putLong(contact);
            }

            @Override
            public void startTimer(Span delay, long token) {
                beginRecord(START_TIMER_RECORD, instance, 16)
                        .putLong(delay.ns())
                        .putLong(token);
            }

            @Override
            public void probe(long target) {
                beginRecord(PROBE_RECORD, instance, 6)
                        .putInt((int) (target >>> 16))
                        .putShort((short) target);
            }

            @Override
            public void sendNote(int peer, byte[] note) {
                beginRecord(NOTE_RECORD, instance, 4 + note.length)
                        .putShort((short) peer)
                        .putShort((short) note.length)
                        .put(note);
            }

            @Override
            public void watchSwitchList(boolean watch) {
                beginRecord(WATCH_SWITCH_LIST_RECORD, instance, 1).put((byte) (watch ? 1 : 0));
            }

            @Override
            public void log(String line) {
                writeText(LOG_RECORD, instance, line);
            }
        };
    }
}
