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
        private boolean shut;
        private int waiting;

        synchronized void shut() {
            shut = true;
        }

        synchronized void open() {
            shut = false;
            notifyAll();
        }

        /** Waits until as many stand before it. */
        synchronized void awaits(int count) throws InterruptedException {
            long until = System.nanoTime() + 10_000_000_000L;
            while (waiting < count) {
                long left = (until - System.nanoTime()) / 1_000_000;
                if (left <= 0) {
                    throw new AssertionError("only " + waiting + " came to the gate");
                }
                wait(left);
            }
        }

        private synchronized void pass() throws IOException {
            waiting++;
            notifyAll();
            try {
                while (shut) {
                    wait();
                }
            } catch (InterruptedException e) {
                throw new IOException(e);
            } finally {
                waiting--;
            }
        }
    }

    final Gate connect = new Gate();
    final Gate write = new Gate();
    final AtomicInteger made = new AtomicInteger();

    @Override
    public Socket get() {
        made.incrementAndGet();
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

    void open() {
        connect.open();
        write.open();
    }
}
