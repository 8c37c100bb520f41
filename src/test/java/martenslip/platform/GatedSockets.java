package martenslip.platform;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Sockets toward switches whose connecting and writing wait at a gate that the test opens. */
final class GatedSockets implements Supplier<Socket> {
    /** One gate; who comes while it is shut waits. */
    static final class Gate {
        private boolean isShut;
        private int waitingCount;

        synchronized void close() {
            isShut = true;
        }

        synchronized void open() {
            isShut = false;
            notifyAll();
        }

        /** Waits until as many stand before it. */
        synchronized void awaitWaiting(int count) throws InterruptedException {
            long deadlineNs = System.nanoTime() + 10_000_000_000L;
            while (waitingCount < count) {
                long remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000;
                if (remainingMs <= 0) {
                    throw new AssertionError("only " + waitingCount + " came to the gate");
                }
                wait(remainingMs);
            }
        }

        private synchronized void pass() throws IOException {
            waitingCount++;
            notifyAll();
            try {
                while (isShut) {
                    wait();
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            } finally {
                waitingCount--;
            }
        }
    }

    final Gate connect = new Gate();
    final Gate write = new Gate();
    final AtomicInteger createdCount = new AtomicInteger();

    @Override
    public Socket get() {
        createdCount.incrementAndGet();
        return new Socket() {
            @Override
            public void connect(SocketAddress to, int atMost) throws IOException {
                connect.pass();
                super.connect(to, atMost);
            }

            @Override
            public OutputStream getOutputStream() throws IOException {
                return new FilterOutputStream(super.getOutputStream()) {
                    @Override
                    public void write(byte[] bytes) throws IOException {
                        write.pass();
                        out.write(bytes);
                    }
                };
            }
        };
    }

    void openAll() {
        connect.open();
        write.open();
    }
}
