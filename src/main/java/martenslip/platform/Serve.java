package martenslip.platform;

import java.io.IOException;
import java.io.PrintStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.function.Supplier;
import martenslip.control.Maker;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.platform.caller.Callers;
import martenslip.platform.desk.Desk;
import martenslip.platform.desk.Outward;
import martenslip.platform.desk.SetUp;
import martenslip.platform.desk.Start;
import martenslip.platform.desk.Terms;
import martenslip.platform.journal.Journal;
import martenslip.platform.journal.ListEvent;
import martenslip.platform.peer.Peers;
import martenslip.platform.switchconnection.Load;
import martenslip.platform.switchconnection.SwitchConnections;
import martenslip.sip.message.Request;
import martenslip.sip.transport.Bounds;
import martenslip.sip.transport.Drops;
import martenslip.sip.transport.Queued;
import martenslip.sip.transport.Writers;
import martenslip.wheel.EventLoop;
import martenslip.wheel.Wheel;

/** One controller in service on the platform: wires callers, switches, journal and peers to one deciding thread. */
public final class Serve implements AutoCloseable {
    private static final int INBOX = 4096;
    private static final Span READY_AT_LAST = Span.ofMillis(1500);
    /**
     * After SIGTERM callers' set-ups come for 0.6 s, and may wait unread where the core is busy; contacts in transit
     * come as long as the process runs. Nothing is won by an early end: the kill comes 3.7 s after SIGTERM at the
     * soonest. What comes later than the first of these is refused.
     */
    private static final Span STILL_TAKEN = Span.ofMillis(1800);

    private static final Span LAST_FOR_SURE = Span.ofMillis(2000);
    /** Half of what the platform adds to every time limit on sockets. */
    private static final Span ON_SOCKETS = Span.ofMillis(25);

    private static final Span LOOK = Span.ofMillis(50);
    /** Well under the kill, which comes 1.7 s after the end begins at the soonest. */
    private static final Span HANG_UP = Span.ofMillis(600);

    private static final Span TELL = Span.ofMillis(5000);
    /** Descriptors of files and the JVM, the journal's two feeds, the listener and the peers' socket. */
    private static final int NOT_FOR_CONNECTIONS = 28;
    /** A bound of threads for callers' connections. */
    private static final int MOST_LINES = 500;

    private final Path file;
    private final Log log;
    private final Drops drops = new Drops();
    private final Writers writers = new Writers("desk", 16);
    private final EventLoop loop = new EventLoop("desk", INBOX);
    private final Wheel wheel = loop.wheel();
    private final CountDownLatch done = new CountDownLatch(1);
    private final Desk desk;
    private final Callers callers;
    private final SwitchConnections switches;
    private final Roster roster;
    private final Journal journal;
    private final Peers peers;
    private final Configuration start;
    private volatile Thread decides;
    private volatile boolean ready;
    private boolean ends;
    private int port;

    /** The log goes to {@code out}; an exception names the path in the file and the reason. */
    public Serve(Path file, Maker maker, PrintStream out) throws IOException {
        this(file, maker, out, Socket::new);
    }

    /** {@code sockets} makes those toward switches, not yet connected. */
    Serve(Path file, Maker maker, PrintStream out, Supplier<Socket> sockets) throws IOException {
        this.file = file;
        log = new Log(out);
        start = Configuration.read(file);
        Map<String, String> settings = start.settings();
        Terms terms = terms(settings);
        Bounds bounds = new Bounds(
                MOST_LINES,
                Span.ofMillis(2000),
                Span.ofMillis(20_000),
                Span.ofMillis(1500),
                256 * 1024,
                Span.ofMillis(3000),
                Span.ofMillis(500));
        callers = new Callers(terms, bounds, writers, drops, fromCallers);
        Span connect = span(settings, "policy-limits.connect-timeout-ns", 500e6);
        Span idle = span(settings, "policy-limits.conn-idle-ns", 600e9);
        Bounds toSwitches = new Bounds(
                256, idle.times(2), idle.times(2), Span.ofMillis(400), 256 * 1024, Span.ofMillis(3000), connect);
        switches = new SwitchConnections(
                toSwitches,
                sockets,
                writers,
                wheel,
                new Load(
                        Arrays.asList(settings.getOrDefault("report.fields", "").split(","))),
                drops,
                this::turn,
                fromSwitches);
        desk = new Desk(wheel, terms, outward);
        roster = new Roster(
                desk, switches, settings.getOrDefault("zones", ""), wheel.now(), System.currentTimeMillis(), log);
        journal = new Journal(start.journal(), start.position(), fromJournal);
        boolean notes = "true".equals(settings.get("policy-limits.peers")) && start.peerListen() != null;
        int own = (int) number(settings, "me", -1);
        peers = notes
                ? new Peers(
                        start.peerListen(),
                        start.peers(),
                        start.peersAll(),
                        own,
                        drops,
                        (peer, note) ->
                                loop.offer((Runnable) () -> desk.tell(to -> to.peerNote(wheel.now(), peer, note))))
                : null;
        desk.module(maker.make(settings, start.seed(), wheel.now(), desk));
    }

    /** Begins to serve; the port that is listened on is returned. */
    public int open() throws IOException {
        loop.start(
                new EventLoop.Duty() {
                    @Override
                    public void take(Object next) {
                        log.line("fault", "unknown piece of work " + next);
                    }

                    @Override
                    public void after() {
                        // Messages go out as they are queued; nothing is left for the end of a turn.
                    }

                    @Override
                    public void fault(Throwable fault) {
                        log.line(
                                "fault",
                                fault + " at "
                                        + Arrays.stream(fault.getStackTrace())
                                                .limit(3)
                                                .toList());
                    }
                },
                () -> {
                    decides = Thread.currentThread();
                    roster.remembered(start.known(), wheel.now());
                    allot();
                    Moment begun = wheel.now();
                    look(begun);
                    wheel.after(TELL, this::told);
                });
        journal.start();
        port = callers.open(start.listen());
        log.line("settings", start.settings().toString());
        log.line(
                "start",
                start.name() + " listens at " + start.listen() + ", limits " + start.limits() + ", journal "
                        + start.journal() + " from " + start.position());
        return port;
    }

    /** Waits until the controller has ended in good order. */
    public void await() throws InterruptedException {
        done.await();
    }

    /**
     * What the list in force needs comes first, with room for a machine beside each one it replaces; callers who mean
     * it hold at most a third of all.
     */
    private void allot() {
        int reserved = NOT_FOR_CONNECTIONS + switches.needs();
        callers.allow(Math.max(start.sockets() / 3 + 1, start.sockets() - reserved));
    }

    private void look(Moment begun) {
        if (switches.allTold() || wheel.now().since(begun).longerThan(READY_AT_LAST)) {
            ready = true;
            log.line(
                    "ready",
                    "after " + wheel.now().since(begun).ns() / 1_000_000 + " ms, states of all groups: "
                            + switches.allTold());
        } else {
            wheel.after(Span.ofMillis(10), () -> look(begun));
        }
    }

    private void told() {
        log.line(
                "counts",
                desk.counts() + " open=" + desk.open() + " standing=" + desk.standing() + " unheard="
                        + desk.unheardReleases() + " lines=" + callers.count() + " switch-lines=" + switches.count()
                        + " threads=" + Thread.activeCount() + " waiting=" + loop.waiting() + " drops="
                        + drops.counts());
        wheel.after(TELL, this::told);
    }

    /** SIGHUP: the file is read anew; only a whole good one counts, else the one in force stays. One at a time. */
    public synchronized void reload() {
        try {
            Configuration now = Configuration.read(file);
            if (!now.settings().equals(start.settings())) {
                log.line("reload", "other settings than at the start: they count from the next start on");
            }
            journal.moved(now.journal());
            log.line("reload", "journal " + now.journal() + " from " + journal.position());
        } catch (IOException | RuntimeException e) {
            log.line("reload", "refused, the one in force stays: " + file + ": " + e.getMessage());
        }
    }

    /** SIGTERM: goes on until all that is owed is answered and nothing more can come, then ends. */
    public void term() {
        try {
            turn(() -> {
                if (!ends) {
                    ends = true;
                    log.line("term", "open=" + desk.open() + " standing=" + desk.standing());
                    wheel.after(STILL_TAKEN, desk::closing);
                    wheel.after(LAST_FOR_SURE, this::ending);
                }
            });
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void ending() {
        if (desk.open() > 0 || callers.unread()) {
            wheel.after(LOOK, this::ending);
            return;
        }
        Thread last = new Thread(
                null,
                () -> {
                    // While the deciding thread still answers: what comes until a connection is ended has an owner.
                    callers.hangUp(HANG_UP);
                    close();
                    done.countDown();
                },
                "last",
                128 * 1024);
        last.start();
    }

    @Override
    public void close() {
        // First: connections that end from here on are no news of callers who went away.
        loop.close();
        try {
            callers.close();
        } catch (IOException e) {
            log.line("close", e.getMessage());
        }
        journal.close();
        switches.close();
        if (peers != null) {
            peers.close();
        }
        log.line("end", desk.counts().toString());
    }

    /** Has something done by the deciding thread; waits for room, but never on that thread, which alone makes room. */
    void turn(Runnable what) throws InterruptedException {
        if (Thread.currentThread() == decides) {
            wheel.after(Span.ZERO, what);
            return;
        }
        loop.put(what, () -> drops.count("waited for the deciding thread"));
    }

    private static Terms terms(Map<String, String> settings) {
        int count = (int) number(settings, "classes.count", 0);
        String[] names = new String[count];
        Span longest = Span.ZERO;
        for (int i = 0; i < count; i++) {
            names[i] = settings.get("classes." + i + ".name");
            longest = longest.least(span(settings, "classes." + i + ".hard-limit-ns", 9e9));
        }
        return new Terms(
                List.of(names),
                (int) number(settings, "policy-limits.max-open", 20_000),
                longest,
                span(settings, "guarantees.answer-slack-ns", 20e6).plus(ON_SOCKETS));
    }

    /** They were looked through when the file was read. */
    private static double number(Map<String, String> settings, String name, double otherwise) {
        String text = settings.get(name);
        return text == null || text.isBlank() ? otherwise : Double.parseDouble(text);
    }

    private static Span span(Map<String, String> settings, String name, double otherwise) {
        return new Span((long) number(settings, name, otherwise));
    }

    private final Callers.Heard fromCallers = new Callers.Heard() {
        @Override
        public boolean setUp(SetUp asked) throws InterruptedException {
            Runnable take = () -> {
                if (asked.standsAt() == null) {
                    desk.setUp(asked);
                } else if (roster.number(asked.standsAt()) == 0) {
                    desk.stoodNowhere(asked);
                } else {
                    desk.stoodBefore(asked, roster.number(asked.standsAt()));
                }
            };
            if (asked.standsAt() == null) {
                return loop.offer(take);
            }
            // It expects no answer that could refuse it, and nobody else would ever release it.
            turn(take);
            return true;
        }

        @Override
        public void request(long line, Request request) throws InterruptedException {
            turn(() -> {
                switch (request.method()) {
                    case "CANCEL" -> desk.withdrawn(line, request);
                    case "BYE" -> desk.released(line, request);
                    default -> desk.acknowledged(request.callId());
                }
            });
        }

        @Override
        public void releaseHeard(String tag) throws InterruptedException {
            turn(() -> desk.releaseHeard(tag));
        }

        @Override
        public void over(long line) throws InterruptedException {
            turn(() -> desk.lineOver(line));
        }

        @Override
        public boolean ready() {
            return ready;
        }
    };

    private final SwitchConnections.Heard fromSwitches = new SwitchConnections.Heard() {
        @Override
        public void started(long target, long connection, String tag, String description) {
            desk.started(target, connection, tag, description);
        }

        @Override
        public void ended(long target, long connection, String tag, int cause, String note, float[] report) {
            desk.ended(target, connection, tag, cause, note, report);
        }

        @Override
        public void load(long target, float[] report) {
            desk.load(target, report);
        }

        @Override
        public void connectionOver(long target, long connection, boolean everUp) {
            desk.connectionOver(target, connection, everUp);
        }

        @Override
        public void processOver(long target) {
            desk.switchOver(target, null);
        }

        @Override
        public boolean standsAt(long target) {
            return desk.standsAt(target);
        }

        @Override
        public void log(String line) {
            log.line("line-over", line);
        }
    };

    private final Journal.Heard fromJournal = new Journal.Heard() {
        @Override
        public void event(ListEvent event) throws InterruptedException {
            turn(() -> {
                roster.take(event, wheel.now());
                allot();
            });
        }

        @Override
        public void broken(String why) {
            drops.count("journal", why);
        }
    };

    private final Outward outward = new Outward() {
        @Override
        public boolean toCaller(long line, byte[] message) {
            return callers.send(line, message);
        }

        @Override
        public long anyLine(long but) {
            return callers.any(but);
        }

        @Override
        public void settled(long line, String tag) {
            callers.settled(line, tag);
        }

        @Override
        public void drop(long line, String why) {
            callers.drop(line, why);
        }

        @Override
        public Queued start(long target, Start asked, Runnable unsent) {
            return switches.start(target, asked, unsent);
        }

        @Override
        public void finish(long target, long connection, String tag, int cause, Runnable written) {
            switches.finish(target, connection, tag, cause, written);
        }

        @Override
        public void finished(long target, long connection, String tag) {
            switches.finished(target, connection, tag);
        }

        @Override
        public void note(int peer, byte[] note) {
            if (peers != null) {
                peers.send(peer, note);
            }
        }

        @Override
        public void log(String kind, String line) {
            log.line(kind, line);
        }
    };

    /** What the platform names in the environment; the address in the file is the one that counts. */
    public static Path configured() throws IOException {
        String file = System.getenv("ROUTER_CONFIG");
        if (file == null || file.isBlank()) {
            throw new IOException("ROUTER_CONFIG is not set");
        }
        return Path.of(file);
    }

    /** For checks; the deciding thread's. */
    int openSetUps() {
        return desk.open();
    }

    /** For checks; the deciding thread's. */
    boolean groupsTold() {
        return switches.allTold();
    }

    /** Of the last event of the list that was taken. */
    long position() {
        return journal.position();
    }

    InetSocketAddress listens() {
        return new InetSocketAddress(start.listen().getAddress(), port);
    }
}
