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
 * One exchange's call controller: sockets, lanes, the decider and the look-out over their threads. Any thread may
 * call its methods.
 */
public final class Exchange implements AutoCloseable {
    /** How late the module may hear a clock: collectors were seen to pause a busy process by 20 to 60 ms. */
    public static final Span MAX_TIMER_LATENESS = Span.ofMillis(25);

    private final ExchangeConfiguration site;
    private final ControllerFactory maker;
    private final EventLog log;
    private final SwitchListStore kept;
    private final Transport transport;
    private final ThreadSupervisor crew;

    public Exchange(ExchangeConfiguration site, ControllerFactory maker) {
        this.site = site;
        this.maker = maker;
        log = new EventLog(site.number());
        kept = new SwitchListStore(site.keptListFile(), this::trouble);
        InboundDispatcher intake = new InboundDispatcher(site.limits().lanes());
        transport = new Transport(
                "exchange-" + site.number(), TransportLimits.DEFAULTS, intake, MessageInterceptor.PASS_THROUGH);
        intake.drops(transport.dropCounter());
        EventPackageCodec text = new EventPackageCodec(site.regions(), new Moment(System.nanoTime()), Instant.now());
        crew = new ThreadSupervisor(
                new Lane.SharedServices(site, transport, new SwitchStateCache(), kept, text, log),
                maker,
                this::fault,
                // Never from the configured seed: a restart would use the branches and tags of its last run again.
                new SecureRandom().nextLong());
        intake.to(crew::loop);
    }

    private void fault(Throwable fault) {
        transport.dropCounter().increment("fault");
        org.slf4j.LoggerFactory.getLogger("martenslip.exchange").error("fault", fault);
    }

    private void trouble(String what) {
        org.slf4j.LoggerFactory.getLogger("martenslip.exchange").warn(what);
    }

    /** Opens the sockets and begins, once the code is warm: a caller who comes first waits no longer than others. */
    public void start() throws IOException {
        try {
            new WarmUp(site, maker).run();
        } catch (RuntimeException e) {
            trouble("not warmed: " + e);
        }
        open(site.udp(), site.tcp());
        crew.start();
    }

    private void open(InetSocketAddress udp, InetSocketAddress tcp) throws IOException {
        if (udp != null) {
            transport.openUdp(udp);
        }
        if (tcp != null) {
            transport.openTcp(tcp);
        }
    }

    /** The port that was opened for this transport, or -1. */
    public int port(Hop.Protocol kind) {
        return transport.isOpen(kind) ? transport.port(kind) : -1;
    }

    public String host() {
        return transport.host();
    }

    /** Counts so far, one line. */
    public String statistics() {
        ExchangeStatistics sum = new ExchangeStatistics();
        int[] counts = new int[3];
        for (int i = 0; i < site.limits().lanes(); i++) {
            crew.estate(i).addPast(sum);
            ask(i, lane -> {
                sum.add(lane.figures);
                counts[0] += lane.contacts.unanswered();
                counts[1] += lane.contacts.open();
                counts[2] += lane.calls().transactionLayer().openCount();
                return true;
            });
        }
        return sum.line(counts[0]) + " standing=" + (counts[1] - counts[0]) + " transactions=" + counts[2]
                + " replaced=" + crew.replaced() + " drops="
                + transport.dropCounter().counts();
    }

    /** Switches that the exchange knows of. */
    public int knownSwitchCount() {
        return askDecider(decider -> decider.switchboard().all().size());
    }

    /** Contacts that the module may still speak of. */
    public int trackedContactCount() {
        return askDecider(Decider::size);
    }

    /** Free circuits of the group toward an exchange as they were last told, -1 before that or without a group. */
    public int freeCircuits(int far) {
        return askDecider(decider -> {
            SwitchRegistry.GroupCircuits circuits = decider.switchboard().toward(far);
            return circuits == null || !circuits.known ? -1 : circuits.spare();
        });
    }

    /** Threads that were replaced since the start. */
    public long replacedThreadCount() {
        return crew.replaced();
    }

    /**
     * Plants a stall in a lane's thread, or in the decider's where {@code lane} is none of them: between two
     * pieces of work where {@code amid} is null, else amid the next send of a message that begins with it.
     */
    public void injectStall(int lane, Span span, String amid) {
        crew.plant(lane, span, amid);
    }

    private <T> T ask(int lane, Function<Lane, T> what) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        crew.tell(lane, one -> answer.complete(what.apply(one)));
        return await(answer);
    }

    private <T> T askDecider(Function<Decider, T> what) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        crew.tellDecider(one -> answer.complete(what.apply(one)));
        return await(answer);
    }

    private static <T> T await(CompletableFuture<T> answer) {
        try {
            return answer.get(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException("interrupted", e);
        } catch (ExecutionException | TimeoutException e) {
            throw new IllegalStateException("the exchange's thread does not answer", e);
        }
    }

    /**
     * Takes nothing new, and waits until what is owed is answered or {@code most} is over. Contacts that stand are
     * left standing. True where nothing is owed any more.
     */
    public boolean drain(Span most) throws InterruptedException {
        crew.closing();
        long end = System.nanoTime() + most.ns();
        boolean owed = true;
        while (owed && System.nanoTime() < end) {
            owed = false;
            for (int i = 0; i < site.limits().lanes(); i++) {
                owed |= ask(i, lane -> lane.contacts.unanswered()) > 0;
            }
            if (owed) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
        crew.tell(0, lane -> lane.surroundings.stop());
        crew.tellDecider(Decider::stop);
        return !owed;
    }

    @Override
    public void close() {
        transport.close();
        crew.close();
        try {
            kept.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
