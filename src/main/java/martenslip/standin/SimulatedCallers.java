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
 * Callers of all exchanges: they dial at random times, give up when their patience ends, redial, hold established
 * contacts, hang up, and may dial again after a cut. Destinations are drawn from weights that drift over time. Owned by
 * its endpoint's thread.
 */
public final class SimulatedCallers implements AutoCloseable {
    /**
     * How callers behave.
     *
     * @param contactsPerSecond first tries of all callers
     * @param shares relative weight of each skill
     * @param tryPatienceShare share of a skill's patience that a caller waits for one try
     * @param driftDeviation standard deviation of the logarithm of the weights
     */
    public record CallerBehavior(
            double contactsPerSecond,
            List<Skill> skills,
            List<Double> shares,
            int maxRedials,
            Span redialDelay,
            double tryPatienceShare,
            double cutRedialProbability,
            Span driftInterval,
            double driftDeviation,
            String numberPrefix) {}

    private static final int MAX_OPEN_ATTEMPTS = 50_000;
    private static final double RAMP_UP_SECONDS = 5;
    /** No redial when less of the patience than this would remain. */
    private static final Span MIN_REMAINING_PATIENCE = Span.ofMillis(500);
    /** Remote part of a Session-ID while the remote UUID is unknown (RFC 7989 5). */
    private static final String UNKNOWN_REMOTE = ";remote=" + "0".repeat(32);

    /** A caller's intent to reach a number, with all its tries. */
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

    /**
     * Creates the callers.
     *
     * @param plannedWeights weight of each destination, by originating and terminating exchange
     * @param switchHops address of the switch of an exchange
     */
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

    /** Binds the sockets on the host's address and starts the thread. */
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
                // The next message opens a new connection.
            }

            @Override
            public Set<String> additionalMethods() {
                return Set.of("OPTIONS");
            }
        };
    }

    /** Starts dialing at the configured rate. */
    public void startDialing() {
        endpoint.execute(() -> {
            dialing = true;
            nextDialAt = now();
            dialingStartedAt = nextDialAt;
            scheduleNextDial();
            driftWeights();
        });
    }

    /** Stops dialing; established contacts last until their hold time ends. */
    public void stopDialing() {
        endpoint.execute(() -> dialing = false);
    }

    /** Multiplies the configured rate by this factor. */
    public void setRateFactor(double factor) {
        endpoint.execute(() -> rateFactor = factor);
    }

    /** Gives the exchange this share of all new contacts; a negative share makes all exchanges equal. */
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
        // Counted from the due time and not from now, so that delays of this thread don't lower the rate.
        // The rate ramps up over the first seconds, as no network starts at full load.
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

    /** Dials one contact between two exchanges, independent of the rate. */
    public void dial(int origin, int destination, int skillIndex) {
        endpoint.execute(() -> startIntent(origin, destination, skillIndex));
    }

    /** Ends sessions whose circuits or controller were lost: their callers hang up and some dial again. */
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

    /** Passes the statistics to the consumer, on the owning thread. */
    public void readStatistics(Consumer<CallerStatistics> consumer) {
        endpoint.execute(() -> consumer.accept(statistics));
    }

    /** Contacts that are established now. */
    public int establishedCount() {
        return establishedAttempts.size();
    }

    /** Ends a random share of the established contacts. */
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

    /** One try of an intent: an INVITE and its outcome. */
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
            Span patience = remainingPatience.atMost(skill.patience().times(behavior.tryPatienceShare()));
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
            // Provisional responses change nothing for the caller.
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
