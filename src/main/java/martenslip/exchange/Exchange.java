package martenslip.exchange;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Function;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.control.ControllerFactory;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.signaling.EventPackageCodec;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.MessageInterceptor;
import martenslip.sip.transport.Transport;
import martenslip.sip.transport.TransportLimits;

/**
 * The call controller of one exchange: sockets, lanes, the decider and the watchdog over their threads. Any thread may
 * call its methods.
 */
public final class Exchange implements AutoCloseable {
    /**
     * How late a timer of the controller may expire: garbage collection was seen to pause a busy process by 20 to 60
     * ms.
     */
    public static final Span MAX_TIMER_LATENESS = Span.ofMillis(25);

    private final ExchangeConfiguration configuration;
    private final ControllerFactory controllerFactory;
    private final EventLog log;
    private final SwitchListStore switchListStore;
    private final Transport transport;
    private final ThreadSupervisor threadSupervisor;

    /** Creates the exchange without opening sockets or starting its lanes; see {@link #start}. */
    public Exchange(ExchangeConfiguration configuration, ControllerFactory controllerFactory) {
        this.configuration = configuration;
        this.controllerFactory = controllerFactory;
        log = new EventLog(configuration.number());
        switchListStore = new SwitchListStore(configuration.keptListFile(), this::logWarning);
        InboundDispatcher inboundDispatcher =
                new InboundDispatcher(configuration.limits().lanes());
        transport = new Transport(
                "exchange-" + configuration.number(),
                TransportLimits.DEFAULTS,
                inboundDispatcher,
                MessageInterceptor.PASS_THROUGH);
        inboundDispatcher.setDropCounter(transport.dropCounter());
        EventPackageCodec eventPackageCodec =
                new EventPackageCodec(configuration.regions(), new Moment(System.nanoTime()), Instant.now());
        threadSupervisor = new ThreadSupervisor(
                new Lane.SharedServices(
                        configuration, transport, new SwitchStateCache(), switchListStore, eventPackageCodec, log),
                controllerFactory,
                this::logFault,
                // Not derived from the configured seed: a restart would reuse the branches and tags of the previous
                // run.
                new SecureRandom().nextLong());
        inboundDispatcher.setLaneLoops(threadSupervisor::laneLoop);
    }

    private void logFault(Throwable fault) {
        transport.dropCounter().increment("fault");
        org.slf4j.LoggerFactory.getLogger("martenslip.exchange").error("fault", fault);
    }

    private void logWarning(String message) {
        org.slf4j.LoggerFactory.getLogger("martenslip.exchange").warn(message);
    }

    /**
     * Warms up the code, opens the sockets and starts the threads. After the warm-up the first callers wait no longer
     * than later ones.
     */
    public void start() throws IOException {
        try {
            new WarmUp(configuration, controllerFactory).run();
        } catch (RuntimeException e) {
            logWarning("warm-up failed: " + e);
        }
        openSockets(configuration.udp(), configuration.tcp());
        threadSupervisor.start();
    }

    private void openSockets(InetSocketAddress udpAddress, InetSocketAddress tcpAddress) throws IOException {
        if (udpAddress != null) {
            transport.openUdp(udpAddress);
        }
        if (tcpAddress != null) {
            transport.openTcp(tcpAddress);
        }
    }

    /** The local port of this protocol, or -1 if it is not open. */
    public int port(Hop.Protocol protocol) {
        return transport.isOpen(protocol) ? transport.port(protocol) : -1;
    }

    /** The host that the sockets listen on. */
    public String host() {
        return transport.host();
    }

    /** The counts since the start, in one line. */
    public String statistics() {
        ExchangeStatistics total = new ExchangeStatistics();
        int[] counts = new int[3];
        for (int i = 0; i < configuration.limits().lanes(); i++) {
            threadSupervisor.handoverStore(i).addReplacedThreadStatisticsTo(total);
            askLane(i, lane -> {
                total.add(lane.statistics);
                counts[0] += lane.contacts.unansweredCount();
                counts[1] += lane.contacts.openCount();
                counts[2] += lane.dialogLayer().transactionLayer().openCount();
                return true;
            });
        }
        return total.toLogLine(counts[0]) + " standing=" + (counts[1] - counts[0]) + " transactions=" + counts[2]
                + " replaced=" + threadSupervisor.replacedThreadCount() + " drops="
                + transport.dropCounter().counts();
    }

    /** Number of known switches. */
    public int knownSwitchCount() {
        return askDecider(decider -> decider.switchRegistry().switches().size());
    }

    /** Number of contacts that the controller may still give orders for. */
    public int trackedContactCount() {
        return askDecider(Decider::trackedContactCount);
    }

    /**
     * Free circuits of the trunk group toward an exchange: the last reported count, adjusted by the rings since then;
     * -1 before the first report or without a group.
     */
    public int freeCircuits(int farExchange) {
        return askDecider(decider -> {
            SwitchRegistry.GroupCircuits circuits = decider.switchRegistry().groupToward(farExchange);
            return circuits == null || !circuits.known ? -1 : circuits.availableCircuits();
        });
    }

    /** Number of threads replaced since the start. */
    public long replacedThreadCount() {
        return threadSupervisor.replacedThreadCount();
    }

    /**
     * Stalls the thread of a lane, or that of the decider if {@code lane} is not the number of a lane. With a null
     * {@code messagePrefix} the stall comes between two tasks, else during the next send of a message that starts with
     * the prefix, for a lane only. For tests and scenarios.
     */
    public void injectStall(int laneNumber, Span duration, String messagePrefix) {
        threadSupervisor.injectStall(laneNumber, duration, messagePrefix);
    }

    private <T> T askLane(int laneNumber, Function<Lane, T> query) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        threadSupervisor.runOnLane(laneNumber, ownedLane -> answer.complete(query.apply(ownedLane)));
        return await(answer);
    }

    private <T> T askDecider(Function<Decider, T> query) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        threadSupervisor.runOnDecider(decider -> answer.complete(query.apply(decider)));
        return await(answer);
    }

    private static <T> T await(CompletableFuture<T> answer) {
        try {
            return answer.get(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted while waiting for the thread of the exchange", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the thread of the exchange did not answer within 5 s", e);
        }
    }

    /**
     * Refuses new contacts and waits until all others have their final answer or the timeout is over. Established
     * contacts stay. Returns true if no answer is outstanding.
     */
    public boolean drain(Span timeout) throws InterruptedException {
        threadSupervisor.refuseNewContacts();
        long deadlineNanos = System.nanoTime() + timeout.ns();
        boolean answersOwed = true;
        while (answersOwed && System.nanoTime() < deadlineNanos) {
            answersOwed = false;
            for (int i = 0; i < configuration.limits().lanes(); i++) {
                answersOwed |= askLane(i, lane -> lane.contacts.unansweredCount()) > 0;
            }
            if (answersOwed) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
        threadSupervisor.runOnLane(0, lane -> lane.networkMonitor.stop());
        threadSupervisor.runOnDecider(Decider::stop);
        return !answersOwed;
    }

    @Override
    public void close() {
        transport.close();
        threadSupervisor.close();
        try {
            switchListStore.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
