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
import martenslip.configuration.Skill;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.signaling.ExtensionHeaders;
import martenslip.signaling.ReleaseCause;
import martenslip.sip.Endpoint;
import martenslip.sip.dialog.CallEndReason;
import martenslip.sip.dialog.UacCall;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.dialog.UserAgentCore;
import martenslip.sip.message.Headers;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.message.SipUri;
import martenslip.sip.transaction.RequestFailure;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.TransactionTimers;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.MessageInterceptor;
import martenslip.sip.transport.TransportLimits;
import martenslip.standin.CallerStatistics.CallOutcome;

/**
 * Callers of all exchanges: they dial at random, have patience, redial, hold, hang up, and dial again where they
 * were cut. Which numbers they dial is drawn from weights that move. Owned by its endpoint's thread.
 */
public final class SimulatedCallers implements AutoCloseable {
    /** How callers behave. {@code shares} are chances of the skills, {@code rate} first tries a second in all. */
    public record CallerBehavior(
            double rate,
            List<Skill> skills,
            List<Double> shares,
            int redials,
            Span redialAfter,
            double retryProbability,
            double cutRedialProbability,
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
    private final class CallIntent {
        final int from;
        final int to;
        final int skill;
        final String number;
        final Moment first;
        final boolean again;
        int tries;

        CallIntent(int from, int to, int skill, String number, boolean again) {
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

    private final CallerBehavior ways;
    private final double[][] planned;
    private final double[][] weights;
    private final double[] parts;
    private final IntFunction<Hop> machines;
    private final Endpoint endpoint;
    private final SplittableRandom chance;
    private final CallerStatistics tally = new CallerStatistics();
    private final Map<String, CallAttempt> establishedCount = new LinkedHashMap<>();
    private double setRateFactor = 1;
    private boolean dialling;
    private Moment nextAt;
    private Moment beganAt;
    private int open;

    /** {@code planned} weighs the destinations of each exchange; {@code machines} gives an exchange's switch. */
    public SimulatedCallers(
            CallerBehavior ways, double[][] planned, IntFunction<Hop> machines, MessageInterceptor gate, long seed) {
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
        endpoint = new Endpoint("callers", TransportLimits.DEFAULTS, gate, fault -> fault.printStackTrace());
    }

    public void open(InetAddress host) throws IOException {
        endpoint.open(new InetSocketAddress(host, 0), new InetSocketAddress(host, 0));
        endpoint.start(
                user(), (message, from) -> false, () -> {}, TransactionTimers.RFC_3261, chance.nextLong(), 1 << 19);
    }

    private Moment now() {
        return endpoint.timerWheel().now();
    }

    private UserAgentCore user() {
        return new UserAgentCore() {
            @Override
            public void inviteReceived(UasCall call) {
                call.refuse(call.response(480, "Callers only"));
            }

            @Override
            public void requestReceived(ServerTransaction transaction) {
                transaction.respond(transaction
                        .request()
                        .createResponse(
                                200, "OK", endpoint.dialogLayer().idGenerator().nextTag()));
            }

            @Override
            public void connectionLost(Hop hop, boolean everUp) {
                // The next message opens another connection.
            }

            @Override
            public Set<String> additionalMethods() {
                return Set.of("OPTIONS");
            }
        };
    }

    /** Begins to dial. */
    public void startDialing() {
        endpoint.execute(() -> {
            dialling = true;
            nextAt = now();
            beganAt = nextAt;
            next();
            drift();
        });
    }

    /** Dials no more; who holds goes on holding until its time. */
    public void stopDialing() {
        endpoint.execute(() -> dialling = false);
    }

    /** This many times the usual number of contacts. */
    public void setRateFactor(double factor) {
        endpoint.execute(() -> setRateFactor = factor);
    }

    /** The exchange gets this part of all contacts; the others share the rest. A negative part makes all alike. */
    public void setHotCaller(int exchange, double part) {
        endpoint.execute(() -> {
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
        double gap = -Math.log(1 - chance.nextDouble()) / (ways.rate() * setRateFactor * risen);
        nextAt = nextAt.plus(Span.ofMillis(gap * 1000));
        endpoint.timerWheel().scheduleAt(nextAt, () -> {
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
        endpoint.timerWheel().scheduleAfter(ways.driftEvery(), this::drift);
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
        CallIntent want = new CallIntent(from, to, skill, number, false);
        tally.wanted(want.name());
        new CallAttempt(want).start();
    }

    /** One caller of an exchange dials a number of another. */
    public void dial(int from, int to, int skill) {
        endpoint.execute(() -> want(from, to, skill));
    }

    /** These sessions lost what carried them: their callers hang up and some dial again. */
    public void sessionsLost(List<String> sessions) {
        endpoint.execute(() -> {
            for (String session : sessions) {
                CallAttempt one = establishedCount.get(session);
                if (one != null) {
                    one.call.bye(new ReleaseCause(ReleaseCause.TEMPORARY_FAILURE, "").toString());
                    one.wasCut();
                }
            }
        });
    }

    /** Hands out the table on the owning thread. */
    public void readStatistics(Consumer<CallerStatistics> at) {
        endpoint.execute(() -> at.accept(tally));
    }

    public int establishedCount() {
        return establishedCount.size();
    }

    /** A part of the contacts that stand, drawn at random. */
    public void cutRandomly(double part) {
        endpoint.execute(() -> {
            List<String> drawn = new ArrayList<>();
            establishedCount.keySet().forEach(session -> {
                if (chance.nextDouble() < part) {
                    drawn.add(session);
                }
            });
            sessionsLost(drawn);
        });
    }

    /** One try: an INVITE and what comes of it. */
    private final class CallAttempt implements UacCall.Listener {
        private final CallIntent want;
        private final String session;
        private UacCall call;
        private CallOutcome ended;
        private boolean over;

        CallAttempt(CallIntent want) {
            this.want = want;
            session = String.format("%016x%016x", chance.nextLong(), chance.nextLong()) + NOBODY_YET;
        }

        void start() {
            want.tries++;
            open++;
            tally.tried(want.name());
            Skill skill = ways.skills().get(want.skill);
            Span left = want.first.plus(skill.patience()).since(now());
            Span patience = left.atMost(skill.patience().times(ways.retryProbability()));
            Hop to = machines.apply(want.from);
            InetSocketAddress at = to.address();
            Headers headers = new Headers();
            headers.add("Max-Forwards", "70");
            headers.add(
                    "From",
                    "<sip:caller@" + endpoint.transport().host() + ">;tag="
                            + endpoint.dialogLayer().idGenerator().nextTag());
            SipUri uri = SipUri.of(want.number, at.getAddress().getHostAddress(), at.getPort());
            headers.add("To", "<" + uri + ">")
                    .add("Call-ID", endpoint.dialogLayer().idGenerator().nextCallId("c"));
            headers.add("CSeq", "1 INVITE").add("Session-ID", session);
            headers.add("Expires", Math.max(1, patience.ns() / 1_000_000_000));
            headers.add(ExtensionHeaders.PATIENCE, patience.ns() / 1_000_000);
            if (!skill.priority().isEmpty()) {
                headers.add("Resource-Priority", skill.priority());
            }
            if (want.again || want.tries > 1) {
                headers.add(ExtensionHeaders.RETRY_KIND, want.again ? "cut" : "redial");
            }
            call = endpoint.dialogLayer().startCall(new Request("INVITE", uri.toString(), headers), to, this);
            endpoint.timerWheel().scheduleAfter(patience, this::impatient);
        }

        private void impatient() {
            if (!over && !call.isEstablished()) {
                call.cancel(null);
                finish(call.hasResponse() ? CallOutcome.GAVE_UP : CallOutcome.NO_ANSWER, Span.ZERO);
            }
        }

        @Override
        public void progress(Response response) {
            // Ringing changes nothing for the caller.
        }

        @Override
        public void established(Response response) {
            over = true;
            open--;
            Skill skill = ways.skills().get(want.skill);
            Span took = now().since(want.first);
            ended = took.longerThan(skill.answerTarget()) ? CallOutcome.LATE : CallOutcome.IN_TARGET;
            tally.ended(want.name(), ended);
            tally.stood(want.name(), took.ns() / 1000);
            establishedCount.put(session, this);
            double hold = -Math.log(1 - chance.nextDouble()) * skill.meanHold().ns();
            endpoint.timerWheel().scheduleAfter(new Span((long) hold), () -> {
                if (establishedCount.remove(session, this)) {
                    call.bye(null);
                }
            });
        }

        @Override
        public void refused(Response response) {
            String after = response.headers().first("Retry-After");
            double seconds = after != null && after.matches("[0-9]{1,4}") ? Integer.parseInt(after) : 0;
            finish(
                    response.status() == 503 ? CallOutcome.DEFERRED : CallOutcome.ABANDONED,
                    Span.ofMillis(seconds * 1000));
        }

        @Override
        public void failed(RequestFailure why) {
            finish(CallOutcome.NO_ANSWER, Span.ZERO);
        }

        private void finish(CallOutcome end, Span stated) {
            if (over) {
                return;
            }
            over = true;
            open--;
            Skill skill = ways.skills().get(want.skill);
            Span wait = ways.redialAfter().times(0.5 + chance.nextDouble()).atLeast(stated);
            Moment next = now().plus(wait);
            boolean may = want.tries <= ways.redials() && next.plus(LEAST).before(want.first.plus(skill.patience()));
            if (may) {
                endpoint.timerWheel().scheduleAt(next, () -> new CallAttempt(want).start());
            } else {
                tally.ended(want.name(), end);
            }
        }

        @Override
        public void ended(CallEndReason why, Request bye) {
            ReleaseCause release = bye == null ? null : ReleaseCause.of(bye);
            if (bye == null || release != null && release.cause() != ReleaseCause.NORMAL_CLEARING) {
                wasCut();
            } else {
                establishedCount.remove(session, this);
            }
        }

        private void wasCut() {
            if (establishedCount.remove(session, this)) {
                tally.cut(want.name(), ended);
                if (dialling && chance.nextDouble() < ways.cutRedialProbability()) {
                    CallIntent next = new CallIntent(want.from, want.to, want.skill, want.number, true);
                    tally.wanted(next.name());
                    new CallAttempt(next).start();
                }
            }
        }
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
