package martenslip.platform;

import java.io.FilterOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.net.SocketAddress;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;

/** Creates sockets to switches that connect and write only while a gate, controlled by the test, is open. */
public final class GatedSockets implements Supplier<Socket> {
    /** A gate: threads that reach it while it is closed wait. */
    public static final class Gate {
        private boolean isShut;
        private int waitingCount;

        /** Threads that reach the gate wait from now on. */
        public synchronized void close() {
            isShut = true;
        }

        /** Lets the threads that wait pass, and all that follow. */
        public synchronized void open() {
            isShut = false;
            notifyAll();
        }

        /** Waits until this many threads wait at the gate. */
        public synchronized void awaitWaiting(int count) throws InterruptedException {
            long deadlineNs = System.nanoTime() + 10_000_000_000L;
            while (waitingCount < count) {
                long remainingMs = (deadlineNs - System.nanoTime()) / 1_000_000;
                if (remainingMs <= 0) {
                    throw new AssertionError("only " + waitingCount + " threads reached the gate");
                }
                wait(remainingMs);
            }
        }

        /** Waits while the gate is closed. */
        public synchronized void pass() throws IOException {
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

        /** A stream whose writes of whole arrays pass this gate. */
        public OutputStream guard(OutputStream stream) {
            return new FilterOutputStream(stream) {
                @Override
                public void write(byte[] bytes) throws IOException {
                    pass();
                    out.write(bytes);
                }
            };
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
            public void connect(SocketAddress address, int timeoutMs) throws IOException {
                connect.pass();
                super.connect(address, timeoutMs);
            }

            @Override
            public OutputStream getOutputStream() throws IOException {
                return write.guard(super.getOutputStream());
            }
        };
    }

    void openAll() {
        connect.open();
        write.open();
    }
}
