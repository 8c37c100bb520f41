package martenslip.standin;

import java.io.BufferedOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.ArrayBlockingQueue;
import martenslip.sip.transport.Hop;

/**
 * Writes the messages at the stand-ins' sockets to a file, with annotations about events that no message shows. A
 * record is a head line and, for messages, the bytes as sent. A full queue blocks the stand-ins, because an incomplete
 * capture would prove nothing. Thread-safe.
 */
public final class CaptureWriter implements AutoCloseable {
    private static final int QUEUE_CAPACITY = 65_536;
    private static final byte[] END_MARKER = {};

    private final ArrayBlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY);
    private final OutputStream out;
    private final Thread thread;
    private volatile IOException failure;

    /** Creates or replaces the file and starts the writing thread. */
    public CaptureWriter(Path file) throws IOException {
        out = new BufferedOutputStream(Files.newOutputStream(file), 1 << 20);
        thread = new Thread(null, this::writeRecords, "capture", 256 * 1024);
        thread.start();
    }

    /** Captures a message; {@code inbound} is toward the stand-in, {@code lost} marks one dropped on purpose. */
    public void message(boolean inbound, String local, Hop remote, boolean lost, byte[] bytes) {
        String headLine = "@ " + System.nanoTime() + (inbound ? " in " : " out ") + local + ' ' + remote
                + (lost ? " lost " : " whole ") + bytes.length + "\n";
        byte[] headBytes = headLine.getBytes(StandardCharsets.US_ASCII);
        byte[] record = new byte[headBytes.length + bytes.length + 1];
        System.arraycopy(headBytes, 0, record, 0, headBytes.length);
        System.arraycopy(bytes, 0, record, headBytes.length, bytes.length);
        record[record.length - 1] = '\n';
        enqueue(record);
    }

    /** Captures an annotation: a kind, and attributes as {@code name=value} separated by blanks. */
    public void annotation(String kind, String attributes) {
        enqueue(("! " + System.nanoTime() + ' ' + kind + ' ' + attributes + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private void enqueue(byte[] record) {
        try {
            queue.put(record);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void writeRecords() {
        try (out) {
            for (byte[] nextRecord = queue.take(); nextRecord != END_MARKER; nextRecord = queue.take()) {
                out.write(nextRecord);
            }
        } catch (IOException e) {
            failure = e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        enqueue(END_MARKER);
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (failure != null) {
            throw new UncheckedIOException(failure);
        }
    }
}
