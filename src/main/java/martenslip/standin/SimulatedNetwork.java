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
 * The network between stand-ins and controllers: delay by region, loss, duplication, reordering, silent links and an
 * isolated region, drawn from a seed. All messages are captured here. Datagrams are subject to all impairments; a TCP
 * message is delayed in order, or lost where its link is silent or isolated, as if it were never read.
 */
public final class SimulatedNetwork implements AutoCloseable {
    /** Probabilities of loss and duplication of a datagram, and an additional delay that reorders datagrams. */
    public record Impairments(double loss, double duplication, Span reorderDelay) {
        /** A network without impairments. */
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

    /** Starts the network with its delays within a region and between regions. */
    public SimulatedNetwork(CaptureWriter capture, long seed, Span sameRegionDelay, Span crossRegionDelay) {
        this.capture = capture;
        random = new SplittableRandom(seed);
        this.sameRegionDelay = sameRegionDelay;
        this.crossRegionDelay = crossRegionDelay;
        thread = new Thread(null, this::deliverDelayedMessages, "network", 1 << 20);
        thread.start();
    }

    /** Sets the region of a controller by its host address, which is unique to it whatever port it sends from. */
    public void assignRegion(InetAddress address, int region) {
        regionByHost.put(address, region);
    }

    /** Sets the impairments of datagrams on all links. */
    public void setImpairments(Impairments newImpairments) {
        impairments = newImpairments;
    }

    /** Isolates the region from all others; -1 ends the isolation. */
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

    /** Creates the link of one stand-in; region -1 has the delay within a region to all hosts. */
    public NetworkLink createLink(String localName, int region) {
        return new NetworkLink(localName, region);
    }

    /** The link of one stand-in, through which all its messages pass. */
    public final class NetworkLink implements MessageInterceptor {
        private final String localName;
        private final int region;
        private volatile boolean silent;

        private NetworkLink(String localName, int region) {
            this.localName = localName;
            this.region = region;
        }

        /** Drops all messages in both directions while true. */
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
