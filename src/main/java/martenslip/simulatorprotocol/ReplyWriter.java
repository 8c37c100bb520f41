package martenslip.simulatorprotocol;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import martenslip.control.Orders;
import martenslip.control.Span;

/** Writes the records of one reply. */
final class ReplyWriter {
    private static final int HEADER = 12;
    private static final int MOST_TEXT = 0xffff;
    private ByteBuffer out = ByteBuffer.allocate(1 << 16);
    private int records;

    void begin() {
        out.clear().position(HEADER);
        records = 0;
    }

    ByteBuffer finish(int batch) {
        int body = out.position() - HEADER;
        out.putInt(0, batch).putInt(4, records).putInt(8, body);
        return out.flip();
    }

    private ByteBuffer record(int code, int instance, int room) {
        if (out.remaining() < room + 6) {
            ByteBuffer more = ByteBuffer.allocate(Math.max(out.capacity() * 2, out.position() + room + 6));
            out.flip();
            out = more.put(out);
        }
        records++;
        return out.putShort((short) code).putInt(instance);
    }

    private void text(int code, int instance, String line) {
        byte[] bytes = line.getBytes(StandardCharsets.UTF_8);
        byte[] kept = bytes.length > MOST_TEXT ? Arrays.copyOf(bytes, MOST_TEXT) : bytes;
        record(code, instance, 2 + kept.length).putShort((short) kept.length).put(kept);
    }

    void fault(int instance, String line) {
        text(1090, instance, line);
    }

    Orders orders(int instance) {
        return new Orders() {
            @Override
            public void ring(long contact, long target, Span limit) {
                record(1000, instance, 22)
                        .putLong(contact)
                        .putInt((int) (target >>> 16))
                        .putShort((short) target)
                        .putLong(limit.ns());
            }

            @Override
            public void cancel(long contact, int ring) {
                record(1030, instance, 10).putLong(contact).putShort((short) ring);
            }

            @Override
            public void defer(long contact, Span comeBack) {
                record(1010, instance, 16).putLong(contact).putLong(comeBack.ns());
            }

            @Override
            public void abandon(long contact) {
                record(1020, instance, 8).putLong(contact);
            }

            @Override
            public void startTimer(Span delay, long token) {
                record(1040, instance, 16).putLong(delay.ns()).putLong(token);
            }

            @Override
            public void probe(long target) {
                record(1050, instance, 6).putInt((int) (target >>> 16)).putShort((short) target);
            }

            @Override
            public void sendNote(int peer, byte[] note) {
                record(1070, instance, 4 + note.length)
                        .putShort((short) peer)
                        .putShort((short) note.length)
                        .put(note);
            }

            @Override
            public void watchSwitchList(boolean on) {
                record(1100, instance, 1).put((byte) (on ? 1 : 0));
            }

            @Override
            public void log(String line) {
                text(1080, instance, line);
            }
        };
    }
}
