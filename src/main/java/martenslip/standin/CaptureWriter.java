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
 * Writes down what passes at the stand-ins' sockets, with facts of the day that no message tells. One record is a
 * head line and, for messages, the bytes as they passed. A queue that is full holds the stand-ins up: a capture
 * with holes would prove nothing. Any thread may call.
 */
public final class CaptureWriter implements AutoCloseable {
    private static final int QUEUE = 65_536;
    private static final byte[] END = {};

    private final ArrayBlockingQueue<byte[]> queue = new ArrayBlockingQueue<>(QUEUE);
    private final OutputStream out;
    private final Thread thread;
    private volatile IOException trouble;

    public CaptureWriter(Path file) throws IOException {
        out = new BufferedOutputStream(Files.newOutputStream(file), 1 << 20);
        thread = new Thread(null, this::work, "capture", 256 * 1024);
        thread.start();
    }

    /** {@code in} is toward the stand-in. A message that the stand-ins lose on purpose is noted as lost. */
    public void message(boolean in, String local, Hop remote, boolean lost, byte[] bytes) {
        String head = "@ " + System.nanoTime() + (in ? " in " : " out ") + local + ' ' + remote
                + (lost ? " lost " : " whole ") + bytes.length + "\n";
        byte[] start = head.getBytes(StandardCharsets.US_ASCII);
        byte[] record = new byte[start.length + bytes.length + 1];
        System.arraycopy(start, 0, record, 0, start.length);
        System.arraycopy(bytes, 0, record, start.length, bytes.length);
        record[record.length - 1] = '\n';
        put(record);
    }

    /** A fact: a kind and words of name=value. */
    public void annotation(String kind, String words) {
        put(("! " + System.nanoTime() + ' ' + kind + ' ' + words + "\n").getBytes(StandardCharsets.UTF_8));
    }

    private void put(byte[] record) {
        try {
            queue.put(record);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void work() {
        try (out) {
            for (byte[] next = queue.take(); next != END; next = queue.take()) {
                out.write(next);
            }
        } catch (IOException e) {
            trouble = e;
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void close() throws IOException {
        put(END);
        try {
            thread.join();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        if (trouble != null) {
            throw new UncheckedIOException(trouble);
        }
    }
}
