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
            double contactsPerSecond,
            List<Skill> skills,
            List<Double> shares,
            int maxRedials,
            Span redialDelay,
            double retryProbability,
            double cutRedialProbability,
            Span driftInterval,
            double driftDeviation,
            String numberPrefix) {}

    private static final int MAX_OPEN_ATTEMPTS = 50_000;
    private static final double RAMP_UP_SECONDS = 5;
    /** Nobody dials again who would give up as soon. */
    private static final Span MIN_REMAINING_PATIENCE = Span.ofMillis(500);
    /** The far half of a Session-ID before the far side is known (RFC 7989 5). */
    private static final String UNKNOWN_REMOTE = ";remote=" + "0".repeat(32);

    /** One wish to be connected, over all its tries. */
    private final class CallIntent {
        final int origin;
        final int destination;
        final int skillIndex;
        final String number;
        final Moment startedAt;
        final boolean redialAfterCut;
        int tryCount;

        CallIntent(int origin, int destination, int skillIndex, String number, boolean redialAfterCut) {
            this.origin = origin;
            this.destination = destination;
            this.skillIndex = skillIndex;
            this.number = number;
            this.redialAfterCut = redialAfterCut;
            startedAt = now();
        }

        String skillName() {
            return behavior.skills().get(skillIndex).name();
        }
    }

    private final CallerBehavior behavior;
    private final double[][] plannedWeights;
    private final double[][] weights;
    private final double[] originShares;
    private final IntFunction<Hop> switchHops;
    private final Endpoint endpoint;
    private final SplittableRandom random;
    private final CallerStatistics statistics = new CallerStatistics();
    private final Map<String, CallAttempt> establishedAttempts = new LinkedHashMap<>();
    private double rateFactor = 1;
    private boolean dialing;
    private Moment nextDialAt;
    private Moment dialingStartedAt;
    private int openAttempts;

    /** {@code planned} weighs the destinations of each exchange; {@code machines} gives an exchange's switch. */
    public SimulatedCallers(
            CallerBehavior behavior,
            double[][] plannedWeights,
            IntFunction<Hop> switchHops,
            MessageInterceptor interceptor,
            long seed) {
        this.behavior = behavior;
        this.plannedWeights = plannedWeights;
        this.switchHops = switchHops;
        weights = new double[plannedWeights.length][];
        originShares = new double[plannedWeights.length];
        random = new SplittableRandom(seed);
        for (int i = 0; i < plannedWeights.length; i++) {
            weights[i] = plannedWeights[i].clone();
            originShares[i] = 1.0 / plannedWeights.length;
        }
        endpoint = new Endpoint("callers", TransportLimits.DEFAULTS, interceptor, failure -> failure.printStackTrace());
    }

    public void open(InetAddress host) throws IOException {
        endpoint.open(new InetSocketAddress(host, 0), new InetSocketAddress(host, 0));
        endpoint.start(
                userAgentCore(),
                (message, from) -> false,
                () -> {},
                TransactionTimers.RFC_3261,
                random.nextLong(),
                1 << 19);
    }

    private Moment now() {
        return endpoint.timerWheel().now();
    }

    private UserAgentCore userAgentCore() {
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
            dialing = true;
            nextDialAt = now();
            dialingStartedAt = nextDialAt;
            scheduleNextDial();
            driftWeights();
        });
    }

    /** Dials no more; who holds goes on holding until its time. */
    public void stopDialing() {
        endpoint.execute(() -> dialing = false);
    }

    /** This many times the usual number of contacts. */
    public void setRateFactor(double factor) {
        endpoint.execute(() -> rateFactor = factor);
    }

    /** The exchange gets this part of all contacts; the others share the rest. A negative part makes all alike. */
    public void setHotCaller(int exchange, double share) {
        endpoint.execute(() -> {
            int exchangeCount = originShares.length;
            for (int i = 0; i < exchangeCount; i++) {
                originShares[i] =
                        share < 0 ? 1.0 / exchangeCount : i == exchange ? share : (1 - share) / (exchangeCount - 1);
            }
        });
    }

    private void scheduleNextDial() {
        if (!dialing) {
            return;
        }
        // From the due time and not from now: turns and pauses must not thin the traffic.
        // It rises over the first seconds, as no network is switched on at its full load.
        double rampUp = Math.min(1, (0.5 + nextDialAt.since(dialingStartedAt).ns() / 1e9) / RAMP_UP_SECONDS);
        double gapSeconds = -Math.log(1 - random.nextDouble()) / (behavior.contactsPerSecond() * rateFactor * rampUp);
        nextDialAt = nextDialAt.plus(Span.ofMillis(gapSeconds * 1000));
        endpoint.timerWheel().scheduleAt(nextDialAt, () -> {
            dial();
            scheduleNextDial();
        });
    }

    private void driftWeights() {
        for (double[] row : weights) {
            for (int j = 0; j < row.length; j++) {
                row[j] = 0;
            }
        }
        for (int i = 0; i < plannedWeights.length; i++) {
            for (int j = 0; j < plannedWeights.length; j++) {
                weights[i][j] = plannedWeights[i][j] * Math.exp(behavior.driftDeviation() * nextGaussian());
            }
        }
        endpoint.timerWheel().scheduleAfter(behavior.driftInterval(), this::driftWeights);
    }

    private double nextGaussian() {
        return Math.sqrt(-2 * Math.log(1 - random.nextDouble())) * Math.cos(2 * Math.PI * random.nextDouble());
    }

    private static int pick(double[] weights, double draw) {
        double total = 0;
        for (double weight : weights) {
            total += weight;
        }
        double remaining = draw * total;
        for (int i = 0; i < weights.length; i++) {
            remaining -= weights[i];
            if (remaining < 0) {
                return i;
            }
        }
        return weights.length - 1;
    }

    private void dial() {
        int origin = pick(originShares, random.nextDouble());
        int destination = pick(weights[origin], random.nextDouble());
        double[] shares = behavior.shares().stream().mapToDouble(share -> share).toArray();
        int skillIndex = pick(shares, random.nextDouble());
        if (destination == origin || openAttempts >= MAX_OPEN_ATTEMPTS) {
            return;
        }
        startIntent(origin, destination, skillIndex);
    }

    private void startIntent(int origin, int destination, int skillIndex) {
        String number = behavior.numberPrefix() + String.format("%02d%05d", destination, random.nextInt(100_000));
        CallIntent intent = new CallIntent(origin, destination, skillIndex, number, false);
        statistics.intentStarted(intent.skillName());
        new CallAttempt(intent).start();
    }

    /** One caller of an exchange dials a number of another. */
    public void dial(int origin, int destination, int skillIndex) {
        endpoint.execute(() -> startIntent(origin, destination, skillIndex));
    }

    /** These sessions lost what carried them: their callers hang up and some dial again. */
    public void sessionsLost(List<String> sessions) {
        endpoint.execute(() -> {
            for (String session : sessions) {
                CallAttempt attempt = establishedAttempts.get(session);
                if (attempt != null) {
                    attempt.call.bye(new ReleaseCause(ReleaseCause.TEMPORARY_FAILURE, "").toString());
                    attempt.contactCut();
                }
            }
        });
    }

    /** Hands out the table on the owning thread. */
    public void readStatistics(Consumer<CallerStatistics> consumer) {
        endpoint.execute(() -> consumer.accept(statistics));
    }

    public int establishedCount() {
        return establishedAttempts.size();
    }

    /** A part of the contacts that stand, drawn at random. */
    public void cutRandomly(double share) {
        endpoint.execute(() -> {
            List<String> selected = new ArrayList<>();
            establishedAttempts.keySet().forEach(session -> {
                if (random.nextDouble() < share) {
                    selected.add(session);
                }
            });
            sessionsLost(selected);
        });
    }

    /** One try: an INVITE and what comes of it. */
    private final class CallAttempt implements UacCall.Listener {
        private final CallIntent intent;
        private final String session;
        private UacCall call;
        private CallOutcome outcome;
        private boolean finished;

        CallAttempt(CallIntent intent) {
            this.intent = intent;
            session = String.format("%016x%016x", random.nextLong(), random.nextLong()) + UNKNOWN_REMOTE;
        }

        void start() {
            intent.tryCount++;
            openAttempts++;
            statistics.tryStarted(intent.skillName());
            Skill skill = behavior.skills().get(intent.skillIndex);
            Span remainingPatience = intent.startedAt.plus(skill.patience()).since(now());
            Span patience = remainingPatience.atMost(skill.patience().times(behavior.retryProbability()));
            Hop hop = switchHops.apply(intent.origin);
            InetSocketAddress address = hop.address();
            Headers headers = new Headers();
            headers.add("Max-Forwards", "70");
            headers.add(
                    "From",
                    "<sip:caller@" + endpoint.transport().host() + ">;tag="
                            + endpoint.dialogLayer().idGenerator().nextTag());
            SipUri uri = SipUri.of(intent.number, address.getAddress().getHostAddress(), address.getPort());
            headers.add("To", "<" + uri + ">")
                    .add("Call-ID", endpoint.dialogLayer().idGenerator().nextCallId("c"));
            headers.add("CSeq", "1 INVITE").add("Session-ID", session);
            headers.add("Expires", Math.max(1, patience.ns() / 1_000_000_000));
            headers.add(ExtensionHeaders.PATIENCE, patience.ns() / 1_000_000);
            if (!skill.priority().isEmpty()) {
                headers.add("Resource-Priority", skill.priority());
            }
            if (intent.redialAfterCut || intent.tryCount > 1) {
                headers.add(ExtensionHeaders.RETRY_KIND, intent.redialAfterCut ? "cut" : "redial");
            }
            call = endpoint.dialogLayer().startCall(new Request("INVITE", uri.toString(), headers), hop, this);
            endpoint.timerWheel().scheduleAfter(patience, this::patienceExpired);
        }

        private void patienceExpired() {
            if (!finished && !call.isEstablished()) {
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
            finished = true;
            openAttempts--;
            Skill skill = behavior.skills().get(intent.skillIndex);
            Span setUpTime = now().since(intent.startedAt);
            outcome = setUpTime.longerThan(skill.answerTarget()) ? CallOutcome.LATE : CallOutcome.IN_TARGET;
            statistics.intentEnded(intent.skillName(), outcome);
            statistics.contactEstablished(intent.skillName(), setUpTime.ns() / 1000);
            establishedAttempts.put(session, this);
            double holdNanos =
                    -Math.log(1 - random.nextDouble()) * skill.meanHold().ns();
            endpoint.timerWheel().scheduleAfter(new Span((long) holdNanos), () -> {
                if (establishedAttempts.remove(session, this)) {
                    call.bye(null);
                }
            });
        }

        @Override
        public void refused(Response response) {
            String retryAfter = response.headers().first("Retry-After");
            double seconds = retryAfter != null && retryAfter.matches("[0-9]{1,4}") ? Integer.parseInt(retryAfter) : 0;
            finish(
                    response.status() == 503 ? CallOutcome.DEFERRED : CallOutcome.ABANDONED,
                    Span.ofMillis(seconds * 1000));
        }

        @Override
        public void failed(RequestFailure failure) {
            finish(CallOutcome.NO_ANSWER, Span.ZERO);
        }

        private void finish(CallOutcome finalOutcome, Span retryAfter) {
            if (finished) {
                return;
            }
            finished = true;
            openAttempts--;
            Skill skill = behavior.skills().get(intent.skillIndex);
            Span redialDelay =
                    behavior.redialDelay().times(0.5 + random.nextDouble()).atLeast(retryAfter);
            Moment nextTryAt = now().plus(redialDelay);
            boolean canRedial = intent.tryCount <= behavior.maxRedials()
                    && nextTryAt.plus(MIN_REMAINING_PATIENCE).before(intent.startedAt.plus(skill.patience()));
            if (canRedial) {
                endpoint.timerWheel().scheduleAt(nextTryAt, () -> new CallAttempt(intent).start());
            } else {
                statistics.intentEnded(intent.skillName(), finalOutcome);
            }
        }

        @Override
        public void ended(CallEndReason reason, Request bye) {
            ReleaseCause releaseCause = bye == null ? null : ReleaseCause.of(bye);
            if (bye == null || releaseCause != null && releaseCause.cause() != ReleaseCause.NORMAL_CLEARING) {
                contactCut();
            } else {
                establishedAttempts.remove(session, this);
            }
        }

        private void contactCut() {
            if (establishedAttempts.remove(session, this)) {
                statistics.contactCut(intent.skillName(), outcome);
                if (dialing && random.nextDouble() < behavior.cutRedialProbability()) {
                    CallIntent nextIntent =
                            new CallIntent(intent.origin, intent.destination, intent.skillIndex, intent.number, true);
                    statistics.intentStarted(nextIntent.skillName());
                    new CallAttempt(nextIntent).start();
                }
            }
        }
    }

    @Override
    public void close() {
        endpoint.close();
    }
}
