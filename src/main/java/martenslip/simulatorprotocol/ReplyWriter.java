package martenslip.simulatorprotocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import martenslip.control.Orders;
import martenslip.control.Span;

/** Writes the records of one reply. */
final class ReplyWriter {
    private static final int HEADER_BYTES = 12;
    private static final int MAX_TEXT_BYTES = 0xffff;
    private ByteBuffer buffer = ByteBuffer.allocate(1 << 16);
    private int recordCount;

    void begin() {
        buffer.clear().position(HEADER_BYTES);
        recordCount = 0;
    }

    ByteBuffer finish(int batchNumber) {
        int bodyLength = buffer.position() - HEADER_BYTES;
        buffer.putInt(0, batchNumber).putInt(4, recordCount).putInt(8, bodyLength);
        return buffer.flip();
    }

    private ByteBuffer beginRecord(int code, int instance, int payloadLength) {
        if (buffer.remaining() < payloadLength + 6) {
            ByteBuffer larger = ByteBuffer.allocate(Math.max(buffer.capacity() * 2, buffer.position() + payloadLength + 6));
            buffer.flip();
            buffer = larger.put(buffer);
        }
        recordCount++;
        return buffer.putShort((short) code).putInt(instance);
    }

    private void writeText(int code, int instance, String line) {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        byte[] truncated = bytes.length > MAX_TEXT_BYTES ? Arrays.copyOf(bytes, MAX_TEXT_BYTES) : bytes;
        beginRecord(code, instance, 2 + truncated.length).putShort((short) truncated.length).put(truncated);
    }

    void writeFault(int instance, String line) {
        writeText(1090, instance, line);
    }

    Orders orders(int instance) {
        return new Orders() {
            @Override
            public void ring(long contact, long target, Span limit) {
                beginRecord(1000, instance, 22)
                        .putLong(contact)
                        .putInt((int) (target >>> 16))
                        .putShort((short) target)
                        .putLong(limit.ns());
            }

            @Override
            public void cancel(long contact, int ring) {
                beginRecord(1030, instance, 10).putLong(contact).putShort((short) ring);
            }

            @Override
            public void defer(long contact, Span comeBack) {
                beginRecord(1010, instance, 16).putLong(contact).putLong(comeBack.ns());
            }

            @Override
            public void abandon(long contact) {
                beginRecord(1020, instance, 8).putLong(contact);
            }

            @Override
            public void startTimer(Span delay, long token) {
                beginRecord(1040, instance, 16).putLong(delay.ns()).putLong(token);
            }

            @Override
            public void probe(long target) {
                beginRecord(1050, instance, 6).putInt((int) (target >>> 16)).putShort((short) target);
            }

            @Override
            public void sendNote(int peer, byte[] note) {
                beginRecord(1070, instance, 4 + note.length)
                        .putShort((short) peer)
                        .putShort((short) note.length)
                        .put(note);
            }

            @Override
            public void watchSwitchList(boolean on) {
                beginRecord(1100, instance, 1).put((byte) (on ? 1 : 0));
            }

            @Override
            public void log(String line) {
                writeText(1080, instance, line);
            }
        };
    }
}
