package martenslip.standin;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.IntFunction;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.provision.Skill;
import martenslip.signal.Fields;
import martenslip.signal.Release;
import martenslip.sip.Endpoint;
import martenslip.sip.dialog.CallIn;
import martenslip.sip.dialog.CallOut;
import martenslip.sip.dialog.CallUser;
import martenslip.sip.dialog.Ending;
import martenslip.sip.message.Headers;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;
import martenslip.sip.transaction.Failure;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.Timers;
import martenslip.sip.transport.Bounds;
import martenslip.sip.transport.Gate;
import martenslip.sip.transport.Hop;
import martenslip.standin.Tally.End;

/**
 * Callers of all exchanges: they dial at random, have patience, redial, hold, hang up, and dial again where they
 * were cut. Which numbers they dial is drawn from weights that move. Owned by its endpoint's thread.
 */
public final class Callers implements AutoCloseable {
    /** How callers behave. {@code shares} are chances of the skills, {@code rate} first tries a second in all. */
    public record Ways(
            double rate,
            List<Skill> skills,
            List<Double> shares,
            int redials,
            Span redialAfter,
            double tryPart,
            double comeAgain,
            Span driftEvery,
            double drift,
            String prefix) {}

    private static final int MOST_OPEN = 50_000;
    private static final double RISE_SECONDS = 5;
    /** Nobody dials again who would give up as soon. */
    private static final Span LEAST = Span.ofMillis(500);
    /** The far half of a Session-ID before the far side is known (RFC 7989 5). */
    private static final String NOBODY_YET = ";remote=" + "0".repeat(32);

    /** One wish to be connected, over all its tries. */
    private final class Want {
        final int from;
        final int to;
        final int skill;
        final String number;
        final Moment first;
        final boolean again;
        int tries;

        Want(int from, int to, int skill, String number, boolean again) {
            this.from = from;
            this.to = to;
            this.skill = skill;
            this.number = number;
            this.again = again;
            first = now();
        }

        String name() {
            return ways.skills().get(skill).name();
        }
    }

    private final Ways ways;
    private final double[][] planned;
    private final double[][] weights;
    private final double[] parts;
    private final IntFunction<Hop> machines;
    private final Endpoint endpoint;
    private final SplittableRandom chance;
    private final Tally tally = new Tally();
    private final Map<String, Try> standing = new LinkedHashMap<>();
    private double times = 1;
    private boolean dialling;
    private Moment nextAt;
    private Moment beganAt;
    private int open;

    /** {@code planned} weighs the destinations of each exchange; {@code machines} gives an exchange's switch. */
    public Callers(Ways ways, double[][] planned, IntFunction<Hop> machines, Gate gate, long seed) {
        this.ways = ways;
        this.planned = planned;
        this.machines = machines;
        weights = new double[planned.length][];
        parts = new double[planned.length];
        chance = new SplittableRandom(seed);
        for (int i = 0; i < planned.length; i++) {
            weights[i] = planned[i].clone();
            parts[i] = 1.0 / planned.length;
        }
        endpoint = new Endpoint("callers", Bounds.USUAL, gate, fault -> fault.printStackTrace());
    }

    public void open(InetAddress host) throws IOException {
        endpoint.open(new InetSocketAddress(host, 0), new InetSocketAddress(host, 0));
        endpoint.start(user(), (message, from) -> false, () -> {}, Timers.RFC, chance.nextLong(), 1 << 19);
    }

    private Moment now() {
        return endpoint.wheel().now();
    }

    private CallUser user() {
        return new CallUser() {
            @Override
            public void incoming(CallIn call) {
                call.refuse(call.response(480, "Callers only"));
            }

            @Override
            public void requested(ServerTransaction transaction) {
                transaction.respond(transaction
                        .request()
                        .answer(200, "OK", endpoint.calls().branches().tag()));
            }

            @Override
            public void broken(Hop hop, boolean everUp) {
                // The next message opens another connection.
            }

            @Override
            public Set<String> methods() {
                return Set.of("OPTIONS");
            }
        };
    }

    /** Begins to dial. */
    public void begin() {
        endpoint.run(() -> {
            dialling = true;
            nextAt = now();
            beganAt = nextAt;
            next();
            drift();
        });
    }

    /** Dials no more; who holds goes on holding until its time. */
    public void end() {
        endpoint.run(() -> dialling = false);
    }

    /** This many times the usual number of contacts. */
    public void times(double factor) {
        endpoint.run(() -> times = factor);
    }

    /** The exchange gets this part of all contacts; the others share the rest. A negative part makes all alike. */
    public void hot(int exchange, double part) {
        endpoint.run(() -> {
            int n = parts.length;
            for (int i = 0; i < n; i++) {
                parts[i] = part < 0 ? 1.0 / n : i == exchange ? part : (1 - part) / (n - 1);
            }
        });
    }

    private void next() {
        if (!dialling) {
            return;
        }
        // From the due time and not from now: turns and pauses must not thin the traffic.
        // It rises over the first seconds, as no network is switched on at its full load.
        double risen = Math.min(1, (0.5 + nextAt.since(beganAt).ns() / 1e9) / RISE_SECONDS);
        double gap = -Math.log(1 - chance.nextDouble()) / (ways.rate() * times * risen);
        nextAt = nextAt.plus(Span.ofMillis(gap * 1000));
        endpoint.wheel().at(nextAt, () -> {
            dial();
            next();
        });
    }

    private void drift() {
        for (double[] row : weights) {
            for (int j = 0; j < row.length; j++) {
                row[j] = 0;
            }
        }
        for (int i = 0; i < planned.length; i++) {
            for (int j = 0; j < planned.length; j++) {
                weights[i][j] = planned[i][j] * Math.exp(ways.drift() * gauss());
            }
        }
        endpoint.wheel().after(ways.driftEvery(), this::drift);
    }

    private double gauss() {
        return Math.sqrt(-2 * Math.log(1 - chance.nextDouble())) * Math.cos(2 * Math.PI * chance.nextDouble());
    }

    private static int pick(double[] weights, double draw) {
        double total = 0;
        for (double weight : weights) {
            total += weight;
        }
        double left = draw * total;
        for (int i = 0; i < weights.length; i++) {
            left -= weights[i];
            if (left < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    private void dial() {
        int from = pick(parts, chance.nextDouble());
        int to = pick(weights[from], chance.nextDouble());
        double[] shares = ways.shares().stream().mapToDouble(share -> share).toArray();
        int skill = pick(shares, chance.nextDouble());
        if (to == from || open >= MOST_OPEN) {
            return;
        }
        want(from, to, skill);
    }

    private void want(int from, int to, int skill) {
        String number = ways.prefix() + String.format("%02d%05d", to, chance.nextInt(100_000));
        Want want = new Want(from, to, skill, number, false);
        tally.wanted(want.name());
        new Try(want).start();
    }

    /** One caller of an exchange dials a number of another. */
    public void dial(int from, int to, int skill) {
        endpoint.run(() -> want(from, to, skill));
    }

    /** These sessions lost what carried them: their callers hang up and some dial again. */
    public void cut(List<String> sessions) {
        endpoint.run(() -> {
            for (String session : sessions) {
                Try one = standing.get(session);
                if (one != null) {
                    one.call.bye(new Release(Release.TEMPORARY, "").toString());
                    one.wasCut();
                }
            }
        });
    }

    /** Hands out the table on the owning thread. */
    public void look(Consumer<Tally> at) {
        endpoint.run(() -> at.accept(tally));
    }

    public int standing() {
        return standing.size();
    }

    /** A part of the contacts that stand, drawn at random. */
    public void cutSome(double part) {
        endpoint.run(() -> {
            List<String> drawn = new ArrayList<>();
            standing.keySet().forEach(session -> {
                if (chance.nextDouble() < part) {
                    drawn.add(session);
                }
            });
            cut(drawn);
        });
    }

    /** One try: an INVITE and what comes of it. */
    private final class Try implements CallOut.Listener {
        private final Want want;
        private final String session;
        private CallOut call;
        private End ended;
        private boolean over;

        Try(Want want) {
            this.want = want;
            session = String.format("%016x%016x", chance.nextLong(), chance.nextLong()) + NOBODY_YET;
        }

        void start() {
            want.tries++;
            open++;
            tally.tried(want.name());
            Skill skill = ways.skills().get(want.skill);
            Span left = want.first.plus(skill.patience()).since(now());
            Span patience = left.most(skill.patience().times(ways.tryPart()));
            Hop to = machines.apply(want.from);
            InetSocketAddress at = to.address();
            Headers headers = new Headers();
            headers.add("Max-Forwards", "70");
            headers.add(
                    "From",
                    "<sip:caller@" + endpoint.transport().host() + ">;tag="
                            + endpoint.calls().branches().tag());
            SipUri uri = SipUri.of(want.number, at.getAddress().getHostAddress(), at.getPort());
            headers.add("To", "<" + uri + ">")
                    .add("Call-ID", endpoint.calls().branches().callId("c"));
            headers.add("CSeq", "1 INVITE").add("Session-ID", session);
            headers.add("Expires", Math.max(1, patience.ns() / 1_000_000_000));
            headers.add(Fields.PATIENCE, patience.ns() / 1_000_000);
            if (!skill.priority().isEmpty()) {
                headers.add("Resource-Priority", skill.priority());
            }
            if (want.again || want.tries > 1) {
                headers.add(Fields.AGAIN, want.again ? "cut" : "redial");
            }
            call = endpoint.calls().call(new Request("INVITE", uri.toString(), headers), to, this);
            endpoint.wheel().after(patience, this::impatient);
        }

        private void impatient() {
            if (!over && !call.stands()) {
                call.cancel(null);
                finish(call.heard() ? End.GAVE_UP : End.NO_ANSWER, Span.ZERO);
            }
        }

        @Override
        public void progress(Response response) {
            // Ringing changes nothing for the caller.
        }

        @Override
        public void stood(Response response) {
            over = true;
            open--;
            Skill skill = ways.skills().get(want.skill);
            Span took = now().since(want.first);
            ended = took.longerThan(skill.answerTarget()) ? End.LATE : End.IN_TARGET;
            tally.ended(want.name(), ended);
            tally.stood(want.name(), took.ns() / 1000);
            standing.put(session, this);
            double hold = -Math.log(1 - chance.nextDouble()) * skill.meanHold().ns();
            endpoint.wheel().after(new Span((long) hold), () -> {
                if (standing.remove(session, this)) {
                    call.bye(null);
                }
            });
        }

        @Override
        public void refused(Response response) {
            String after = response.headers().first("Retry-After");
            double seconds = after != null && after.matches("[0-9]{1,4}") ? Integer.parseInt(after) : 0;
            finish(response.status() == 503 ? End.DEFERRED : End.ABANDONED, Span.ofMillis(seconds * 1000));
        }

        @Override
        public void failed(Failure why) {
            finish(End.NO_ANSWER, Span.ZERO);
        }

        private void finish(End end, Span stated) {
            if (over) {
                return;
            }
            over = true;
            open--;
            Skill skill = ways.skills().get(want.skill);
            Span wait = ways.redialAfter().times(0.5 + chance.nextDouble()).least(stated);
            Moment next = now().plus(wait);
            boolean may = want.tries <= ways.redials() && next.plus(LEAST).before(want.first.plus(skill.patience()));
            if (may) {
                endpoint.wheel().at(next, () -> new Try(want).start());
            } else {
                tally.ended(want.name(), end);
            }
        }

        @Override
        public void ended(Ending why, Request bye) {
            Release release = bye == null ? null : Release.of(bye);
            if (bye == null || release != null && release.cause() != Release.NORMAL) {
                wasCut();
            } else {
                standing.remove(session, this);
            }
        }

        private void wasCut() {
            if (standing.remove(session, this)) {
                tally.cut(want.name(), ended);
                if (dialling && chance.nextDouble() < ways.comeAgain()) {
                    Want next = new Want(want.from, want.to, want.skill, want.number, true);
                    tally.wanted(next.name());
                    new Try(next).start();
                }
            }
        }
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
