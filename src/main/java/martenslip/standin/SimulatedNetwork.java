package martenslip.standin;

import java.net.InetAddress;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.DelayQueue;
import java.util.concurrent.Delayed;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import martenslip.control.Span;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.MessageInterceptor;

/**
 * The wires between the stand-ins and the controllers: delay by region, loss, copies, reordering, silence of one
 * place and a region cut off, drawn from a seed. What passes is captured here. Datagrams suffer all of it; a TCP
 * message is delayed in order, or lost where a place is silent or cut off, as one that is never read.
 */
public final class SimulatedNetwork implements AutoCloseable {
    /** Chances for each datagram, and a further delay that lets one overtake another. */
    public record Impairments(double loss, double copies, Span reorder) {
        public static final Impairments NONE = new Impairments(0, 0, Span.ZERO);
    }

    private static final class DelayedMessage implements Delayed {
        private final long due;
        private final long order;
        private final Runnable what;

        DelayedMessage(long due, long order, Runnable what) {
            this.due = due;
            this.order = order;
            this.what = what;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(due - System.nanoTime(), TimeUnit.NANOSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            DelayedMessage one = (DelayedMessage) other;
            return due == one.due ? Long.compare(order, one.order) : Long.compare(due, one.due);
        }
    }

    private final CaptureWriter capture;
    private final SplittableRandom chance;
    private final Span same;
    private final Span cross;
    private final Map<InetAddress, Integer> regions = new ConcurrentHashMap<>();
    private final DelayQueue<DelayedMessage> late = new DelayQueue<>();
    private final AtomicLong order = new AtomicLong();
    private final Thread thread;
    private volatile Impairments setImpairments = Impairments.NONE;
    private volatile int cutRegion = -1;

    public SimulatedNetwork(CaptureWriter capture, long seed, Span same, Span cross) {
        this.capture = capture;
        chance = new SplittableRandom(seed);
        this.same = same;
        this.cross = cross;
        thread = new Thread(null, this::work, "network", 1 << 20);
        thread.start();
    }

    /** Says in which region a controller stands; each has a loopback address of its own, whatever port it sends from. */
    public void assignRegion(InetAddress address, int region) {
        regions.put(address, region);
    }

    public void setImpairments(Impairments next) {
        setImpairments = next;
    }

    /** Cuts the region off from all others; -1 joins all again. */
    public void isolateRegion(int region) {
        cutRegion = region;
    }

    private synchronized double draw() {
        return chance.nextDouble();
    }

    private void work() {
        try {
            while (true) {
                late.take().what.run();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The wire of one stand-in. */
    public NetworkLink createLink(String local, int region) {
        return new NetworkLink(local, region);
    }

    public final class NetworkLink implements MessageInterceptor {
        private final String local;
        private final int region;
        private volatile boolean setSilent;

        private NetworkLink(String local, int region) {
            this.local = local;
            this.region = region;
        }

        /** Neither hears nor says anything while silent. */
        public void setSilent(boolean on) {
            setSilent = on;
        }

        @Override
        public void outbound(int localPort, Hop to, byte[] bytes, Consumer<byte[]> send) {
            pass(false, to, bytes, send);
        }

        @Override
        public void inbound(int localPort, Hop from, byte[] bytes, Consumer<byte[]> deliver) {
            pass(true, from, bytes, deliver);
        }

        private void pass(boolean in, Hop far, byte[] bytes, Consumer<byte[]> onward) {
            Integer farRegion = regions.get(far.address().getAddress());
            boolean apart = region >= 0 && farRegion != null && farRegion != region;
            int cut = cutRegion;
            boolean severed = apart && cut >= 0 && (cut == region || cut == farRegion);
            Impairments now = setImpairments;
            boolean datagram = !far.isReliable();
            boolean lost = setSilent || severed || datagram && now.loss() > 0 && draw() < now.loss();
            if (in || lost) {
                capture.message(in, local, far, lost, bytes);
            }
            if (lost) {
                return;
            }
            Span delay = apart ? cross : farRegion == null ? Span.ZERO : same;
            if (datagram && now.reorder().ns() > 0 && draw() < 0.1) {
                delay = delay.plus(now.reorder().times(draw()));
            }
            later(delay, in, far, bytes, onward);
            if (datagram && now.copies() > 0 && draw() < now.copies()) {
                later(delay.plus(now.reorder()), in, far, bytes.clone(), onward);
            }
        }

        private void later(Span delay, boolean in, Hop far, byte[] bytes, Consumer<byte[]> onward) {
            Runnable go = () -> {
                if (!in) {
                    capture.message(false, local, far, false, bytes);
                }
                onward.accept(bytes);
            };
            if (delay.ns() == 0) {
                go.run();
            } else {
                late.add(new DelayedMessage(System.nanoTime() + delay.ns(), order.incrementAndGet(), go));
            }
        }
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
