package martenslip.exchange;

import java.io.IOException;
import java.security.SecureRandom;
import java.time.Instant;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.function.Supplier;
import martenslip.control.Controller;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.Span;
import martenslip.provision.Site;
import martenslip.signal.SwitchText;
import martenslip.sip.Endpoint;
import martenslip.sip.dialog.CallIn;
import martenslip.sip.dialog.CallUser;
import martenslip.sip.message.BadValue;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.Timers;
import martenslip.sip.transport.Bounds;
import martenslip.sip.transport.Gate;
import martenslip.sip.transport.Hop;

/**
 * One exchange's call controller: sockets, the module and what stands between. All but {@link #start},
 * {@link #drain}, {@link #figures} and {@link #close} runs on its endpoint's thread.
 */
public final class Exchange implements AutoCloseable {
    /** How late the module may hear a clock: collectors were seen to pause a busy process by 20 to 60 ms. */
    public static final Span ROUND = Span.ofMillis(25);
    private static final int TRANSACTIONS_A_CONTACT = 8;

    private final Site site;
    private final Endpoint endpoint;
    private final EventLog log;
    private final Figures figures = new Figures();
    private final KeptList kept;
    private final Maker maker;
    private Contacts contacts;
    private Surroundings surroundings;
    private Happenings happenings;

    public Exchange(Site site, Maker maker) {
        this.site = site;
        this.maker = maker;
        log = new EventLog(site.number());
        endpoint = new Endpoint("exchange-" + site.number(), Bounds.USUAL, Gate.OPEN, this::fault);
        kept = new KeptList(site.kept(), this::trouble);
    }

    private void fault(Throwable fault) {
        org.slf4j.LoggerFactory.getLogger("martenslip.exchange").error("fault", fault);
    }

    private void trouble(String what) {
        org.slf4j.LoggerFactory.getLogger("martenslip.exchange").warn(what);
    }

    /** Opens the sockets and begins, once the code is warm: a caller who comes first waits no longer than others. */
    public void start() throws IOException {
        try {
            new Warming(site, maker).run();
        } catch (RuntimeException e) {
            trouble("not warmed: " + e);
        }
        endpoint.open(site.udp(), site.tcp());
        CountDownLatch ready = new CountDownLatch(1);
        Moment now = new Moment(System.nanoTime());
        Instant wall = Instant.now();
        // Never from the configured seed: a restart would then use the branches and tags of its last run again.
        int transactions = Math.min(1 << 20, site.limits().mostOpen() * TRANSACTIONS_A_CONTACT);
        endpoint.start(user(), (message, from) -> false, this::tellModule, Timers.QUICK,
                new SecureRandom().nextLong(), transactions);
        endpoint.run(() -> {
            begin(new SwitchText(site.regions(), now, wall));
            ready.countDown();
        });
        try {
            ready.await(10, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void begin(SwitchText text) {
        Switchboard switchboard = new Switchboard(site);
        Deferring orders = new Deferring();
        Controller module = maker.make(site.settings(ROUND), site.seed(), endpoint.wheel().now(), orders);
        happenings = new Happenings(module);
        contacts = new Contacts(site, endpoint.calls(), switchboard, happenings, log, figures);
        surroundings = new Surroundings(site, endpoint.calls(), switchboard, happenings, text, kept, log);
        surroundings.start();
        orders.begin();
    }

    private void tellModule() {
        if (happenings != null) {
            happenings.tellAll(endpoint.wheel().now());
        }
    }

    private CallUser user() {
        return new CallUser() {
            @Override
            public void incoming(CallIn call) {
                contacts.incoming(call);
            }

            @Override
            public void requested(ServerTransaction transaction) {
                try {
                    surroundings.requested(transaction);
                } catch (BadValue e) {
                    transaction.respond(transaction.request().answer(400, "Unreadable value", null));
                }
            }

            @Override
            public void broken(Hop hop, boolean everUp) {
                log.info(endpoint.wheel().now(), "connection-ended", "hop", hop, "ever_up", everUp);
            }

            @Override
            public Set<String> methods() {
                return Set.of("NOTIFY", "MESSAGE", "OPTIONS");
            }
        };
    }

    /** The module's orders, carried out at once; those of its making wait until all parts stand. */
    private final class Deferring implements Orders {
        private boolean begun;
        private boolean listWanted;

        void begin() {
            begun = true;
            if (listWanted) {
                surroundings.watchList(true);
            }
        }

        @Override
        public void ring(long contact, long target, Span limit) {
            contacts.ring(contact, target, limit);
        }

        @Override
        public void callOff(long contact, int ring) {
            contacts.callOff(contact, ring);
        }

        @Override
        public void defer(long contact, Span comeBack) {
            contacts.defer(contact, comeBack);
        }

        @Override
        public void abandon(long contact) {
            contacts.abandon(contact);
        }

        @Override
        public void clock(Span delay, long token) {
            endpoint.wheel().after(delay, () -> happenings.add((module, at) -> module.clockRung(at, token)));
        }

        @Override
        public void probe(long target) {
            surroundings.probe(target);
        }

        @Override
        public void note(int peer, byte[] note) {
            surroundings.note(peer, note);
        }

        @Override
        public void askList() {
            surroundings.askList();
        }

        @Override
        public void watchList(boolean on) {
            if (begun) {
                surroundings.watchList(on);
            } else {
                listWanted = on;
            }
        }

        @Override
        public void log(String line) {
            log.info(endpoint.wheel().now(), "module", "line", line);
        }
    }

    /** The port that was opened for this transport, or -1. */
    public int port(Hop.Kind kind) {
        return endpoint.transport().has(kind) ? endpoint.transport().port(kind) : -1;
    }

    public String host() {
        return endpoint.transport().host();
    }

    /** Counts so far, one line, read by the owning thread. */
    public String figures() {
        return ask(() -> figures.line(contacts.unanswered()) + " standing="
                + (contacts.open() - contacts.unanswered()) + " transactions="
                + endpoint.calls().transactions().open() + " drops=" + endpoint.drops().counts());
    }

    /** Switches that the exchange knows of. */
    public int known() {
        return ask(() -> surroundings.switchboard().all().size());
    }

    /** Free circuits of the group toward an exchange as they were last told, -1 before that or without a group. */
    public int free(int far) {
        return ask(() -> {
            Switchboard.Circuits circuits = surroundings.switchboard().toward(far);
            return circuits == null || !circuits.known ? -1 : circuits.free;
        });
    }

    private <T> T ask(Supplier<T> what) {
        CompletableFuture<T> answer = new CompletableFuture<>();
        endpoint.run(() -> answer.complete(what.get()));
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
        endpoint.run(contacts::close);
        long end = System.nanoTime() + most.ns();
        boolean owed = true;
        while (owed && System.nanoTime() < end) {
            owed = ask(contacts::unanswered) > 0;
            if (owed) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
        }
        endpoint.run(() -> {
            surroundings.stop();
            happenings.add(Controller::stopped);
        });
        return !owed;
    }

    @Override
    public void close() {
        endpoint.close();
        try {
            kept.close();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
