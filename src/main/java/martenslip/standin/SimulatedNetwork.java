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
    public record Impairments(double loss, double duplication, Span reorderDelay) {
        public static final Impairments NONE = new Impairments(0, 0, Span.ZERO);
    }

    private static final class DelayedMessage implements Delayed {
        private final long dueNanos;
        private final long sequence;
        private final Runnable delivery;

        DelayedMessage(long dueNanos, long sequence, Runnable delivery) {
            this.dueNanos = dueNanos;
            this.sequence = sequence;
            this.delivery = delivery;
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(dueNanos - System.nanoTime(), TimeUnit.NANOSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            DelayedMessage otherMessage = (DelayedMessage) other;
            return dueNanos == otherMessage.dueNanos
                    ? Long.compare(sequence, otherMessage.sequence)
                    : Long.compare(dueNanos, otherMessage.dueNanos);
        }
    }

    private final CaptureWriter capture;
    private final SplittableRandom random;
    private final Span sameRegionDelay;
    private final Span crossRegionDelay;
    private final Map<InetAddress, Integer> regionByHost = new ConcurrentHashMap<>();
    private final DelayQueue<DelayedMessage> delayedMessages = new DelayQueue<>();
    private final AtomicLong sequence = new AtomicLong();
    private final Thread thread;
    private volatile Impairments impairments = Impairments.NONE;
    private volatile int isolatedRegion = -1;

    public SimulatedNetwork(CaptureWriter capture, long seed, Span sameRegionDelay, Span crossRegionDelay) {
        this.capture = capture;
        random = new SplittableRandom(seed);
        this.sameRegionDelay = sameRegionDelay;
        this.crossRegionDelay = crossRegionDelay;
        thread = new Thread(null, this::deliverDelayedMessages, "network", 1 << 20);
        thread.start();
    }

    /** Says in which region a controller stands; each has a loopback address of its own, whatever port it sends from. */
    public void assignRegion(InetAddress address, int region) {
        regionByHost.put(address, region);
    }

    public void setImpairments(Impairments newImpairments) {
        impairments = newImpairments;
    }

    /** Cuts the region off from all others; -1 joins all again. */
    public void isolateRegion(int region) {
        isolatedRegion = region;
    }

    private synchronized double nextRandom() {
        return random.nextDouble();
    }

    private void deliverDelayedMessages() {
        try {
            while (true) {
                delayedMessages.take().delivery.run();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** The wire of one stand-in. */
    public NetworkLink createLink(String localName, int region) {
        return new NetworkLink(localName, region);
    }

    public final class NetworkLink implements MessageInterceptor {
        private final String localName;
        private final int region;
        private volatile boolean silent;

        private NetworkLink(String localName, int region) {
            this.localName = localName;
            this.region = region;
        }

        /** Neither hears nor says anything while silent. */
        public void setSilent(boolean newSilent) {
            silent = newSilent;
        }

        @Override
        public void outbound(int localPort, Hop remote, byte[] bytes, Consumer<byte[]> send) {
            passMessage(false, remote, bytes, send);
        }

        @Override
        public void inbound(int localPort, Hop remote, byte[] bytes, Consumer<byte[]> deliver) {
            passMessage(true, remote, bytes, deliver);
        }

        private void passMessage(boolean inbound, Hop remote, byte[] bytes, Consumer<byte[]> forward) {
            Integer remoteRegion = regionByHost.get(remote.address().getAddress());
            boolean differentRegions = region >= 0 && remoteRegion != null && remoteRegion != region;
            int isolated = isolatedRegion;
            boolean unreachable = differentRegions && isolated >= 0 && (isolated == region || isolated == remoteRegion);
            Impairments currentImpairments = impairments;
            boolean datagram = !remote.isReliable();
            boolean lost = silent
                    || unreachable
                    || datagram && currentImpairments.loss() > 0 && nextRandom() < currentImpairments.loss();
            if (inbound || lost) {
                capture.message(inbound, localName, remote, lost, bytes);
            }
            if (lost) {
                return;
            }
            Span delay = differentRegions ? crossRegionDelay : remoteRegion == null ? Span.ZERO : sameRegionDelay;
            if (datagram && currentImpairments.reorderDelay().ns() > 0 && nextRandom() < 0.1) {
                delay = delay.plus(currentImpairments.reorderDelay().times(nextRandom()));
            }
            deliverAfter(delay, inbound, remote, bytes, forward);
            if (datagram && currentImpairments.duplication() > 0 && nextRandom() < currentImpairments.duplication()) {
                deliverAfter(delay.plus(currentImpairments.reorderDelay()), inbound, remote, bytes.clone(), forward);
            }
        }

        private void deliverAfter(Span delay, boolean inbound, Hop remote, byte[] bytes, Consumer<byte[]> forward) {
            Runnable delivery = () -> {
                if (!inbound) {
                    capture.message(false, localName, remote, false, bytes);
                }
                forward.accept(bytes);
            };
            if (delay.ns() == 0) {
                delivery.run();
            } else {
                delayedMessages.add(
                        new DelayedMessage(System.nanoTime() + delay.ns(), sequence.incrementAndGet(), delivery));
            }
        }
    }

    @Override
    public void close() {
        thread.interrupt();
    }
}
