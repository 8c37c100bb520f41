package martenslip;

import java.nio.ByteBuffer;
import java.util.*;
import martenslip.control.*;

/**
 * The module: makes every routing decision. A program creates one for each exchange, notifies it of events through
 * {@link Controller} and carries out the {@link Orders} it gives. Each event becomes messages in the inboxes of actors,
 * and one loop empties all inboxes before the call returns. See docs/design.md.
 *
 * <p>A contact takes the direct route first, then a tandem drawn by weight. Near full, each class of service may hold
 * only a share of a group; the shares change in stages with the urgent demand, after F. Carvalho de Gouveia, Y. Rebahi,
 * J. R. Planella, T. Magedanz, "Emergency Services Control Model for Next Generation Networks", called the paper below.
 */
public final class RoutingPolicy implements Controller {
    // Shares of a group by stage of urgent demand. The thresholds (urgent demand over the group's size) are the
    // paper's, except the first: its 11.2% is never reached when a few contacts in a hundred are urgent, and a full
    // group would then keep no circuits for them. The shares are the upper limits in table 2 of the paper, divided
    // by the total of their stage: emergency, gold, silver, bronze.
    static final double[] STAGE_DEMAND_THRESHOLDS = {0.02, 0.256, 0.40, 0.60};
    static final double[][] STAGE_SHARES = {
        {0.112, 0.400, 0.428, 0.060},
        {0.256, 0.336, 0.359, 0.049},
        {0.400, 0.180, 0.375, 0.045},
        {0.600, 0.137, 0.235, 0.028},
        {0.800, 0.163, 0.037, 0.000}
    };
    // Free circuits below which the shares apply, in square roots of the group's size, the standard deviation of the
    // number of circuits held by random arrivals. The early level is for contacts over a tandem, which take circuits
    // of two groups, and for late contacts.
    static final double NEAR_FULL_LEVEL_SQRT_SIZE = 0.15;
    static final double EARLY_NEAR_FULL_LEVEL_SQRT_SIZE = 0.5;
    // Weights of tandems, from 0 (never drawn) to 1.
    static final double WEIGHT_GAIN_FACTOR = 0.3;
    static final double WEIGHT_LOSS_FACTOR = 0.5;
    static final double INITIAL_WEIGHT = 0.6;
    static final double MIN_WEIGHT = 0.05;
    /** Assumed load of a processor on an ordinary day, as a share of its capacity. */
    static final double USUAL_LOAD_SHARE = 0.8;
    /**
     * Limit of the rate sent to a cold switch, over its share of the usual rate; well below the multiple at which the
     * switch is overloaded, the setting {@code guarantees.fall-multiple}.
     */
    static final double MAX_COLD_USUAL_RATIO = 1.25;
    /** Limit of the same ratio as a share of {@code guarantees.fall-multiple}; it applies where that is small. */
    static final double MAX_COLD_FALL_MULTIPLE_SHARE = 0.6;
    /** Smoothing factor, per report, by which the learned usual capacity of a processor rises. */
    static final double USUAL_CAPACITY_RISE_FACTOR = 0.2;
    /** The same for its fall; much smaller, or a long overload would pass for the usual capacity. */
    static final double USUAL_CAPACITY_FALL_FACTOR = 0.002;
    /** Share of its capacity that a processor rejects above which urgent contacts are rejected too. */
    static final double URGENT_REJECTION_START_CUT = 0.85;
    /** The same share from which all urgent contacts are rejected. */
    static final double URGENT_REJECTION_FULL_CUT = 0.95;
    /** Wait at a processor, as a share of the contact's answer target, above which urgent contacts are rejected. */
    static final double URGENT_REJECTION_START_WAIT_TARGET_SHARE = 1;
    /** The same share from which all urgent contacts are rejected. */
    static final double URGENT_REJECTION_FULL_WAIT_TARGET_SHARE = 2;
    /** Wait at a processor, as a share of the contact's answer target, above which other contacts are rejected. */
    static final double REJECTION_START_WAIT_TARGET_SHARE = 0.2;
    /** The same share from which all other contacts are rejected. */
    static final double REJECTION_FULL_WAIT_TARGET_SHARE = 0.7;
    /** Work of a message in a processor's queue, in set-ups; most are queries, answers and retransmissions. */
    static final double SET_UPS_PER_QUEUED_MESSAGE = 0.4;
    /** More set-ups, messages or milliseconds than any processor can have; a larger value is a faulty report. */
    static final double MAX_REPORTED_VALUE = 1e6;
    /** How many rings in flight toward one switch are counted. */
    static final int MAX_COUNTED_RINGS_PER_SWITCH = 3;
    /** Multiplies the rejection share of late contacts. */
    static final int LATE_REJECTION_FACTOR = 3;
    /** Time between trials of a silent switch, in trial intervals. */
    static final int SILENT_TRIAL_GAP_INTERVALS = 4;
    /** Number of exchanges whose trials within one answer target together are no load on a switch. */
    static final double EXCHANGES_PER_TRIAL_TARGET = 6;
    /** Share of its answer target that a contact may wait for a circuit; the rest is for the set-up. */
    static final double CIRCUIT_WAIT_TARGET_SHARE = 0.5;
    /** Delay, as a share of the urgent answer target, of the retry after the home switch's processor had no room. */
    static final double RETRY_DELAY_TARGET_SHARE = 0.25;
    /** Interval, as a share of the urgent answer target, at which requests that wait for a circuit are retried. */
    static final double CIRCUIT_RETRY_INTERVAL_TARGET_SHARE = 0.04;
    /** Minimum time between two probes of the home switch, as a share of the urgent answer target. */
    static final double PROBE_INTERVAL_TARGET_SHARE = 0.4;

    /** Numbers whose first try is remembered; a redial of one that was forgotten counts as a first try. */
    static final int MAX_FIRST_TRIES = 16_384;

    static final Moment NEVER = new Moment(Long.MIN_VALUE / 4);

    /** Why a switch or group denied a circuit. */
    enum DenialReason {
        SHARE_EXCEEDED,
        GROUP_FULL,
        PROCESSOR_BUSY,
        SWITCH_COLD,
        SWITCH_UNAVAILABLE
    }

    /** A message in an actor's inbox; it calls the receiver's method that handles it. */
    interface Message<A> {
        void deliverTo(A receiver);
    }

    record ContactOffered(Contact contact) implements Message<ContactManager> {
        public void deliverTo(ContactManager receiver) {
            receiver.contactOffered(contact);
        }
    }

    /** A ring of the contact was answered. */
    record ContactEstablished(long contact) implements Message<ContactManager> {
        public void deliverTo(ContactManager receiver) {
            receiver.established(contact);
        }
    }

    record ContactRingEnded(RingEnd end) implements Message<ContactManager> {
        public void deliverTo(ContactManager receiver) {
            receiver.ringEnded(end);
        }
    }

    record CallerGone(long contact) implements Message<ContactManager> {
        public void deliverTo(ContactManager receiver) {
            receiver.close(receiver.openContacts.get(contact));
        }
    }

    record ContactTimerExpired(long contact) implements Message<ContactManager> {
        public void deliverTo(ContactManager receiver) {
            receiver.timerExpired(contact);
        }
    }

    /**
     * A switch denied the request; {@code byHomeSwitch} if it was the home switch, before the destination was asked.
     */
    record CircuitDenied(long contact, boolean byHomeSwitch) implements Message<ContactManager> {
        public void deliverTo(ContactManager receiver) {
            receiver.circuitDenied(receiver.openContacts.get(contact), byHomeSwitch);
        }
    }

    /** The target, the destination or a tandem, reserved circuits for a ring. */
    record CircuitGranted(long contact, Switch target) implements Message<ContactManager> {
        public void deliverTo(ContactManager receiver) {
            receiver.circuitGranted(contact, target);
        }
    }

    /** A contact requests a circuit for its next ring: first from the home switch, then from its destination. */
    record CircuitRequest(
            Contact contact,
            Skill skill,
            Switch destination,
            boolean initial,
            Moment waitUntil,
            int ringsInFlight,
            Moment firstTryAt,
            Set<Long> triedSwitches)
            implements Message<Switch> {
        public void deliverTo(Switch receiver) {
            receiver.handleRequest(this);
        }

        int width() {
            return Math.max(1, contact.width());
        }

        boolean isUrgent() {
            return skill.rank == 0;
        }

        /** The answer target counts from the first try; a cheap contact past it is worth little and is served last. */
        boolean isLate(Moment now) {
            return !isUrgent() && !now.before(firstTryAt.plus(skill.target));
        }

        CircuitRequest asRetry() {
            return new CircuitRequest(
                    contact, skill, destination, false, waitUntil, ringsInFlight, firstTryAt, triedSwitches);
        }
    }

    /** Asks a tandem for a circuit; if it has none, the next tandem is asked, and at the end the destination again. */
    record TandemRequest(CircuitRequest request, List<Switch> nextTandems) implements Message<Switch> {
        public void deliverTo(Switch receiver) {
            receiver.tryAsTandem(request, nextTandems);
        }
    }

    /** Tells the target and the home switch that a contact was established. */
    record SwitchContactEstablished(long contact, Span setUpTime) implements Message<Switch> {
        public void deliverTo(Switch receiver) {
            receiver.contactEstablished(contact, setUpTime);
        }
    }

    record SwitchRingEnded(RingEnd end) implements Message<Switch> {
        public void deliverTo(Switch receiver) {
            receiver.switchRingEnded(end);
        }
    }

    /** Withdraws the request of a contact, or releases its circuits. */
    record ReleaseCircuits(long contact) implements Message<Switch> {
        public void deliverTo(Switch receiver) {
            receiver.releaseCircuits(contact);
        }
    }

    /** The retry timer has expired: the waiting requests are handled again. */
    record ServeWaitingRequests() implements Message<Switch> {
        public void deliverTo(Switch receiver) {
            receiver.retryTimerRunning = false;
            receiver.retryWaitingRequests();
        }
    }

    /** A silent switch may be tried at once. */
    record AllowTrial() implements Message<Switch> {
        public void deliverTo(Switch receiver) {
            receiver.nextTrialAt = NEVER;
        }
    }

    record SwitchListed(SwitchEntry entry) implements Message<Switch> {
        public void deliverTo(Switch receiver) {
            receiver.listEntryReceived(entry);
        }
    }

    record SwitchReported(float[] report) implements Message<Switch> {
        public void deliverTo(Switch receiver) {
            receiver.reportReceived(report);
        }
    }

    /** A tandem reported whether it has a group toward this switch. */
    record TandemGroupReported(int tandem, boolean hasGroup) implements Message<Switch> {
        public void deliverTo(Switch receiver) {
            receiver.tandemGroupReported(tandem, hasGroup);
        }
    }

    record PeerNoteReceived(byte[] note) implements Message<ContactManager> {
        public void deliverTo(ContactManager receiver) {
            receiver.peerNoteReceived(note);
        }
    }

    /** A ring over this tandem succeeded or failed. */
    record TandemOutcome(Switch tandem, boolean success) implements Message<Switch> {
        public void deliverTo(Switch receiver) {
            receiver.updateTandemWeight(tandem, success);
        }
    }

    /** A skill from the settings. Rank 0 is the urgent one; {@code shareColumn} is its column in the stage shares. */
    record Skill(int id, int rank, int shareColumn, int width, Span target, Span meanHold, List<String> pools) {
        /** Where exchanges form pools instead of a full mesh, a skill may use only some of them as tandems. */
        boolean mayUseTandem(int tandemNumber) {
            return pools.contains("") || pools.contains("" + tandemNumber);
        }
    }

    /**
     * A histogram of spans whose counts are halved every three periods. Bin widths double; one bin makes it a count.
     */
    static final class DecayingHistogram {
        final double[] binCounts;
        final Span lastBinStart;
        final Span period;
        final Moment startedAt;
        long halvings;

        DecayingHistogram(int bins, Span lastBinStart, Span period, Moment now) {
            this.binCounts = new double[bins];
            this.lastBinStart = lastBinStart;
            this.period = period;
            startedAt = now;
        }

        private double decay(Moment now) {
            double passedHalvings = now.since(startedAt).ratioTo(period) / 3;
            for (; halvings < (long) passedHalvings; halvings++) {
                for (int i = 0; i < binCounts.length; i++) {
                    binCounts[i] = binCounts[i] < 0.01 ? 0 : binCounts[i] / 2;
                }
            }
            return passedHalvings;
        }

        void add(double amount, Span span, Moment now) {
            decay(now);
            int bin = binCounts.length - 1;
            for (Span lowerEdge = lastBinStart;
                    bin > 0 && lowerEdge.longerThan(span);
                    lowerEdge = lowerEdge.times(0.5)) {
                bin--;
            }
            binCounts[bin] += amount;
        }

        /** Mean count per period; at the start, over the time that has passed, but at least one period. */
        double mean(Moment now) {
            double effectivePeriods = 3 * (1 + decay(now) - halvings - Math.pow(0.5, halvings));
            return Arrays.stream(binCounts).sum() / Math.max(1, effectivePeriods);
        }

        /** Upper edge of the bin that contains this quantile; zero if too little was counted. */
        Span quantile(double fraction, Moment now) {
            decay(now);
            double total = Arrays.stream(binCounts).sum();
            double remaining = total * fraction;
            for (int i = 0; total >= 1 && i < binCounts.length; i++) {
                remaining -= binCounts[i];
                if (remaining <= 0) {
                    return lastBinStart.times(Math.pow(2, i - binCounts.length + 2));
                }
            }
            return Span.ZERO;
        }
    }

    private DecayingHistogram newCount(Span period) {
        return new DecayingHistogram(1, period, period, now);
    }

    /** Handles the messages of its inbox one at a time. */
    class Actor<A extends Actor<A>> {
        private final ArrayDeque<Message<A>> inbox = new ArrayDeque<>();

        final void enqueue(Message<A> message) {
            if (inbox.isEmpty()) {
                pendingActors.add(this);
            }
            inbox.add(message);
        }

        @SuppressWarnings("unchecked")
        final void processInbox() {
            while (!inbox.isEmpty()) {
                try {
                    inbox.peek().deliverTo((A) this);
                } catch (RuntimeException fault) {
                    // The faulty message is dropped; left in the inbox, it would block the later ones. The stack
                    // trace may be empty: the JVM omits it for a fault that occurs often.
                    orders.log("fault: " + fault + " at "
                            + Arrays.stream(fault.getStackTrace()).limit(1).toList());
                } finally {
                    inbox.poll();
                }
            }
        }
    }

    /**
     * The requests that wait for a circuit of one switch, by rank and then in the order in which they came; each contact
     * has at most one.
     */
    static final class WaitingRequests {
        private final Map<Integer, Map<Long, CircuitRequest>> requestsByRank = new TreeMap<>();

        void add(CircuitRequest request) {
            requestsByRank
                    .computeIfAbsent(request.skill.rank, rank -> new LinkedHashMap<>())
                    .put(request.contact.id(), request);
        }

        void remove(long contact) {
            requestsByRank.values().forEach(requests -> requests.remove(contact));
        }

        /** Removes and returns all requests in their order. */
        List<CircuitRequest> takeAll() {
            List<CircuitRequest> taken = new ArrayList<>(size());
            for (Map<Long, CircuitRequest> requests : requestsByRank.values()) {
                taken.addAll(requests.values());
                requests.clear();
            }
            return taken;
        }

        boolean isEmpty() {
            return size() == 0;
        }

        int size() {
            return requestsByRank.values().stream().mapToInt(Map::size).sum();
        }
    }

    /** Circuits that a ring holds on the group; {@code sentAt} is null once the contact is established. */
    private record HeldCircuits(Skill skill, int width, Moment sentAt) {}

    /**
     * A tandem's weight when last updated; it recovers with time unless 0, which means the tandem has no group there.
     */
    private record TandemWeight(double value, Moment updatedAt) {}

    /** A switch, its processor, and the group of circuits toward it. */
    final class Switch extends Actor<Switch> {
        final long id;
        int number = -1;
        int zone = -1;
        SwitchEntry.State state = SwitchEntry.State.GONE;
        Moment startedAt;
        int freeCircuits;
        int groupSize;
        // Separate maps: far more contacts are established than in flight, and each request reads the oldest in flight.
        final Map<Long, HeldCircuits> inFlight = new LinkedHashMap<>();
        final Map<Long, HeldCircuits> established = new HashMap<>();
        final int[] heldBySkill = new int[skills.length];
        /** Circuits that urgent contacts request per mean holding time. */
        final DecayingHistogram urgentDemand = newCount(urgentSkill.meanHold);

        Map<Integer, TandemWeight> tandemWeights = new TreeMap<>();
        final WaitingRequests waitingRequests = new WaitingRequests();
        boolean retryTimerRunning;
        /** A ring timed out with no response since it was sent. */
        boolean unresponsive;

        final DecayingHistogram setUpTimes =
                new DecayingHistogram(8, maxPatience, urgentSkill.target.times(1 / 3.0), now);
        final DecayingHistogram sentRings = newCount(urgentSkill.target);
        final DecayingHistogram establishedCount = newCount(urgentSkill.target);
        final DecayingHistogram requestCount = newCount(urgentSkill.target);
        /** Rings sent per period to the warm switch, averaged over the last ones. */
        double warmSendRate;
        /** Rings that may be sent to the cold switch now. */
        double coldBudget;
        /** Share of its capacity that the processor rejects, as reported or derived. */
        double capacityCut;
        /** Usual number of set-ups a second that the processor allows, as learned from its reports. */
        double usualCapacity;
        /** Messages in the processor's queue. */
        double queueDepth;

        Moment coldBudgetAt = now;
        Moment lastResponseAt = now;
        /** Until when a silent switch gets no further trial. */
        Moment nextTrialAt = NEVER;

        Moment reportedAt = NEVER;
        Span queueWait = Span.ZERO;

        Switch(long id) {
            this.id = id;
        }

        void contactEstablished(long contact, Span setUpTime) {
            if (isSilent()) {
                // Other switches of its zone may have been cut off with it and would wait for their own trials one by
                // one.
                switches.values().stream()
                        .filter(other -> other.zone == zone)
                        .forEach(other -> other.enqueue(new AllowTrial()));
            }
            setUpTimes.add(1, setUpTime, now);
            establishedCount.add(1, Span.ZERO, now);
            responseReceived();
            HeldCircuits ring = inFlight.remove(contact);
            if (ring != null) {
                established.put(contact, new HeldCircuits(ring.skill, ring.width, null));
            }
        }

        void listEntryReceived(SwitchEntry entry) {
            number = entry.number();
            // A machine that replaces another keeps its groups, and so the weights learned for them.
            tandemWeights = weightsByDestination.computeIfAbsent(number, any -> new TreeMap<>());
            state = entry.state();
            zone = entry.zone();
            if (entry.startedAt() != null && (startedAt == null || startedAt.before(entry.startedAt()))) {
                // Reports of the previous processor say nothing about this one.
                startedAt = entry.startedAt();
                // With many senders the share of each is a fraction of a contact; a random start decides who sends
                // early.
                coldBudget = random.nextDouble();
                coldBudgetAt = now;
                responseReceived();
                reportedAt = NEVER;
            }
        }

        void reportReceived(float[] report) {
            if (report.length >= 2 && Float.isFinite(report[0]) && Float.isFinite(report[1])) {
                groupSize = Math.max(0, Math.round(report[1]));
                freeCircuits = Math.max(0, Math.min(groupSize, Math.round(report[0])));
                switchesWithGroup.remove(id);
                if (groupSize > 0) {
                    switchesWithGroup.put(id, this);
                }
            }
            for (int i = 2; i < report.length && i < reportFields.size(); i++) {
                // NaN and impossibly large values are ignored; the learned capacity would not recover from them.
                double value = report[i] <= MAX_REPORTED_VALUE ? report[i] : -1;
                reportedAt = value < 0 ? reportedAt : now;
                switch (value < 0 ? "" : reportFields.get(i)) {
                    case "cut_by" -> capacityCut = value;
                    case "depth" -> queueDepth = value;
                    case "mean_ms" -> queueWait = Span.ofMillis(value);
                    case "allowed" -> {
                        usualCapacity += (value - usualCapacity)
                                * (value > usualCapacity ? USUAL_CAPACITY_RISE_FACTOR : USUAL_CAPACITY_FALL_FACTOR);
                        // A processor whose first report allows nothing is jammed, not idle.
                        capacityCut =
                                usualCapacity == 0 ? 1 : Math.max(0, 1 - value / usualCapacity / USUAL_LOAD_SHARE);
                        double setUpsPerSecond = Math.max(0.01, Math.max(value, usualCapacity / 100));
                        queueWait = Span.ofMillis(1000 * SET_UPS_PER_QUEUED_MESSAGE * queueDepth / setUpsPerSecond);
                    }
                }
            }
            retryWaitingRequests();
        }

        void switchRingEnded(RingEnd end) {
            HeldCircuits heldRing = releaseCircuits(end.contact());
            if (end.cause() == RingEndCause.TURNED_BACK || end.cause() == RingEndCause.BUSY) {
                responseReceived();
            } else if (end.cause() == RingEndCause.TIMED_OUT && heldRing != null && heldRing.sentAt != null) {
                unresponsive |= lastResponseAt.before(heldRing.sentAt);
            }
            reportReceived(end.report());
        }

        HeldCircuits releaseCircuits(long contact) {
            waitingRequests.remove(contact);
            HeldCircuits heldRing =
                    inFlight.containsKey(contact) ? inFlight.remove(contact) : established.remove(contact);
            if (heldRing != null) {
                heldBySkill[heldRing.skill.id] -= heldRing.width;
            }
            return heldRing;
        }

        void responseReceived() {
            lastResponseAt = now;
            unresponsive = false;
        }

        void grant(CircuitRequest request) {
            inFlight.put(request.contact.id(), new HeldCircuits(request.skill, request.width(), now));
            heldBySkill[request.skill.id] += request.width();
            freeCircuits -= request.width();
            sentRings.add(1, Span.ZERO, now);
            warmSendRate += warmUpShare() < 1 ? 0 : (sentRings.mean(now) - warmSendRate) / 16;
            contactManager.enqueue(new CircuitGranted(request.contact.id(), this));
        }

        /** Number of thresholds below the urgent demand on this group: the row of the stage shares. */
        int demandStage() {
            double demand = groupSize == 0 ? 0 : urgentDemand.mean(now) / groupSize;
            return (int) Arrays.stream(STAGE_DEMAND_THRESHOLDS)
                    .filter(threshold -> demand > threshold)
                    .count();
        }

        /**
         * Circuits held by a skill; those that no ring from here holds were taken by the far end and count as cheapest.
         */
        int occupiedCircuits(int skill) {
            int unknown = Math.max(
                    0, groupSize - freeCircuits - Arrays.stream(heldBySkill).sum());
            return heldBySkill[skill] + (skill == cheapestSkillId ? unknown : 0);
        }

        /** Returns null if the group admits the contact, else the reason why not. */
        DenialReason checkGroup(CircuitRequest request, boolean overTandem) {
            if (freeCircuits < request.width()) {
                return DenialReason.GROUP_FULL;
            }
            boolean bindsEarly = overTandem || request.isLate(now);
            double nearFullLevel = Math.max(
                    (bindsEarly ? EARLY_NEAR_FULL_LEVEL_SQRT_SIZE : NEAR_FULL_LEVEL_SQRT_SIZE) * Math.sqrt(groupSize),
                    urgentSkill.width);
            if (request.isUrgent() || freeCircuits - request.width() >= nearFullLevel) {
                return null;
            }
            // With almost no urgent demand one skill may fill the group.
            int stage = demandStage();
            double limit = stage == 0 ? groupSize : skillShare(request.skill.id, stage) * groupSize;
            return !bindsEarly && occupiedCircuits(request.skill.id) + request.width() <= limit
                    ? null
                    : DenialReason.SHARE_EXCEEDED;
        }

        /**
         * Whether no response came for longer than set-ups take here: the switch may be hung, cut off, jammed or slow.
         */
        boolean isSilent() {
            Span longest = setUpTimes.quantile(0.9, now).times(2).atLeast(urgentSkill.target);
            return unresponsive
                    || inFlight.values().stream()
                            .limit(1)
                            .anyMatch(ring -> lastResponseAt.before(ring.sentAt)
                                    && now.since(ring.sentAt).longerThan(longest));
        }

        /** Share of its full capacity that a switch has since its start; 1 once it is warm. */
        double warmUpShare() {
            double warmUpProgress =
                    startedAt == null ? 1 : Math.max(0, now.since(startedAt).ratioTo(warmUpTime));
            return warmUpProgress >= 1
                    ? 1
                    : 1 - (1 - numberSetting("guarantees.cold-share", 0.2)) * (1 - warmUpProgress);
        }

        /** Each exchange may send a cold switch its own usual rate, reduced as the capacity of the switch is. */
        boolean spendColdBudget(CircuitRequest request) {
            double share = warmUpShare();
            if (share >= 1) {
                return true;
            }
            // Requests count by half because a refused caller tries again. The rate is limited to what the group can
            // carry: a rush says nothing about the processor, and a module that just started has seen only the rush.
            double groupPeriodCapacity = groupSize
                    * sentRings.period.ratioTo(skills[cheapestSkillId].meanHold)
                    / skills[cheapestSkillId].width;
            double usualPerPeriod = Math.min(groupPeriodCapacity, Math.max(warmSendRate, requestCount.mean(now) / 2));
            share *= Math.min(
                    MAX_COLD_USUAL_RATIO, MAX_COLD_FALL_MULTIPLE_SHARE * numberSetting("guarantees.fall-multiple", 1));
            double periods = now.since(coldBudgetAt).ratioTo(sentRings.period);
            coldBudget = Math.min(2, coldBudget + usualPerPeriod * share * periods);
            coldBudgetAt = now;
            return coldBudget >= 1 && coldBudget-- > 0;
        }

        /** The share of the contacts of this skill, 0 to 1, to reject because of the load of this processor. */
        double rejectionShare(Skill skill, int ringsInFlight) {
            Span age = reportedAt == NEVER ? maxPatience : now.since(reportedAt);
            // The weight of a report decays with its age: a switch that gets no contacts sends no better report.
            double reportWeight = Math.pow(0.5, age.ratioTo(trialInterval()));
            Span ownSetUpTime = this == homeSwitch() ? setUpTimes.quantile(0.25, now) : Span.ZERO;
            // Rings in flight divided by the answer rate predict the wait before the first slow answer shows it.
            double queueRatio = Math.max(0, ringsInFlight - 1)
                    / Math.max(3, establishedCount.mean(now))
                    * establishedCount.period.ratioTo(skill.target);
            double waitRatio = Math.max(
                    queueRatio,
                    queueWait.times(reportWeight).atLeast(ownSetUpTime).ratioTo(skill.target));
            // A processor that accepts almost nothing is jammed; even urgent contacts would only add to its queue.
            return skill.rank == 0
                    ? Math.max(
                            ramp(capacityCut * reportWeight, URGENT_REJECTION_START_CUT, URGENT_REJECTION_FULL_CUT),
                            ramp(
                                    waitRatio,
                                    URGENT_REJECTION_START_WAIT_TARGET_SHARE,
                                    URGENT_REJECTION_FULL_WAIT_TARGET_SHARE))
                    : Math.max(
                            capacityCut * reportWeight,
                            ramp(waitRatio, REJECTION_START_WAIT_TARGET_SHARE, REJECTION_FULL_WAIT_TARGET_SHARE));
        }

        DenialReason checkProcessor(CircuitRequest request) {
            boolean trial = isSilent();
            // A draining home switch still sends contacts elsewhere, which is no new work for its processor.
            boolean acceptsWork =
                    state == SwitchEntry.State.READY || this == homeSwitch() && state != SwitchEntry.State.GONE;
            if (!acceptsWork || trial && now.before(nextTrialAt)) {
                return DenialReason.SWITCH_UNAVAILABLE;
            }
            if (trial) {
                // Trials are spaced so that those of all exchanges together don't keep a slow processor jammed.
                nextTrialAt = now.plus(trialInterval().times(SILENT_TRIAL_GAP_INTERVALS));
            }
            double rejection =
                    trial ? 0 : rejectionShare(request.skill, this == request.destination ? 0 : request.ringsInFlight);
            rejection *= request.isLate(now) ? LATE_REJECTION_FACTOR : 1;
            return rejection >= 1 || request.initial && random.nextDouble() < rejection
                    ? DenialReason.PROCESSOR_BUSY
                    : null;
        }

        void handleRequest(CircuitRequest request) {
            DenialReason reason = checkProcessor(request);
            boolean inTransit = request.contact.inTransit();
            if (this != request.destination) {
                if (reason == null) {
                    request.destination.enqueue(request);
                } else {
                    waitOrDeny(request, DenialReason.PROCESSOR_BUSY);
                }
                return;
            }
            requestCount.add(request.initial ? 1 : 0, Span.ZERO, now);
            // Redials of a blocked caller count once as urgent demand.
            if (request.initial && request.isUrgent() && now.before(request.firstTryAt.plus(request.skill.target))) {
                urgentDemand.add(request.width(), Span.ZERO, now);
            }
            reason = reason == null ? checkGroup(request, inTransit) : reason;
            reason = reason == null && !spendColdBudget(request) ? DenialReason.SWITCH_COLD : reason;
            List<Switch> tandems = reason == DenialReason.GROUP_FULL && !inTransit && warmUpShare() >= 1
                    ? drawTandems(request)
                    : List.of();
            if (reason == null) {
                grant(request);
            } else if (tandems.isEmpty()) {
                // Without a group large enough and without a tandem, waiting is useless.
                waitOrDeny(request, groupSize < request.width() ? DenialReason.SWITCH_UNAVAILABLE : reason);
            } else {
                passToNextTandem(request, tandems);
            }
        }

        /** Lets a request wait for a circuit while that may meet the answer target; otherwise denies it. */
        void waitOrDeny(CircuitRequest request, DenialReason reason) {
            if (request.contact.inTransit() || reason != DenialReason.GROUP_FULL || !now.before(request.waitUntil)) {
                contactManager.enqueue(new CircuitDenied(request.contact.id(), this != request.destination));
                return;
            }
            waitingRequests.add(request);
            if (!retryTimerRunning) {
                retryTimerRunning = true;
                orders.startTimer(
                        urgentSkill
                                .target
                                .times(CIRCUIT_RETRY_INTERVAL_TARGET_SHARE)
                                .atLeast(timerRound),
                        id * 2 + 1);
            }
        }

        double tandemWeight(Switch tandem) {
            TandemWeight weight = tandemWeights.getOrDefault(tandem.number, new TandemWeight(INITIAL_WEIGHT, now));
            double remainingEffect = Math.pow(0.5, now.since(weight.updatedAt).ratioTo(urgentSkill.meanHold.times(4)));
            return weight.value == 0 ? 0 : 1 - (1 - weight.value) * remainingEffect;
        }

        void updateTandemWeight(Switch tandem, boolean success) {
            double weight = tandemWeight(tandem);
            weight = success ? weight + WEIGHT_GAIN_FACTOR * (1 - weight) : weight * WEIGHT_LOSS_FACTOR;
            tandemWeights.put(tandem.number, new TandemWeight(Math.max(MIN_WEIGHT, weight), now));
        }

        /** A tandem's own note about its group toward this switch replaces the learned weight. */
        void tandemGroupReported(int tandem, boolean hasGroup) {
            tandemWeights.put(tandem, new TandemWeight(hasGroup ? INITIAL_WEIGHT : 0, now));
        }

        /**
         * Tandems in a random order by weight, each used once by a contact. If the direct group is large enough, a
         * cheap contact gets one tandem for each of its circuits; without such a group a tandem is the planned route.
         */
        List<Switch> drawTandems(CircuitRequest request) {
            boolean drawsOnce =
                    groupSize >= request.width() && request.width() <= urgentSkill.width && !request.isUrgent();
            if (drawsOnce && (!request.initial || request.isLate(now))) {
                return List.of();
            }
            Map<Double, Switch> byDrawKey = new TreeMap<>();
            for (Switch tandem : switchesWithGroup.values()) {
                double weight = tandemWeight(tandem);
                if (tandem != this && weight > 0 && !request.triedSwitches.contains(tandem.id)) {
                    double drawKey = -Math.log(random.nextDouble()) / weight;
                    boolean advised = tandem.number == request.contact.routingHint() && random.nextDouble() < weight;
                    byDrawKey.put(advised ? -1 : drawKey, tandem);
                }
            }
            List<Switch> tandems = new ArrayList<>(byDrawKey.values());
            return drawsOnce && !tandems.isEmpty()
                    ? tandems.subList(0, Math.min(request.width(), tandems.size()))
                    : tandems;
        }

        void tryAsTandem(CircuitRequest request, List<Switch> nextTandems) {
            if (this == request.destination) {
                waitOrDeny(request, DenialReason.GROUP_FULL);
            } else if (warmUpShare() >= 1
                    && state == SwitchEntry.State.READY
                    && request.skill.mayUseTandem(number)
                    && !isSilent()
                    && rejectionShare(request.skill, 0) == 0
                    && checkGroup(request, true) == null) {
                grant(request);
            } else {
                passToNextTandem(request, nextTandems);
            }
        }

        /** Passes the request on; after the last tandem it returns to the destination, where it waits or is denied. */
        void passToNextTandem(CircuitRequest request, List<Switch> tandems) {
            Switch receiver = tandems.isEmpty() ? request.destination : tandems.get(0);
            receiver.enqueue(new TandemRequest(request, tandems.subList(Math.min(1, tandems.size()), tandems.size())));
        }

        void retryWaitingRequests() {
            for (CircuitRequest request : waitingRequests.takeAll()) {
                if (now.before(request.waitUntil)) {
                    handleRequest(request.asRetry());
                }
            }
        }
    }

    /** What an open contact waits for. */
    enum ContactState {
        AWAITING_CIRCUIT,
        RINGING,
        AWAITING_RETRY
    }

    /** A contact that is owed a final answer. */
    static final class OpenContact {
        final Contact contact;
        final Skill skill;
        /** Latest moment for the final answer. */
        final Moment answerBy;
        /** Until when the contact may wait for a circuit. */
        final Moment waitUntil;
        /** Until when a further ring may be sent: the end of the answer target. */
        final Moment retryUntil;

        final Moment firstTryAt;
        final Set<Long> triedSwitches = new HashSet<>();
        ContactState state = ContactState.AWAITING_CIRCUIT;
        int ringCount;
        /** Whether a circuit was requested before; the home switch is asked only the first time. */
        boolean requested;

        Switch ringTarget;
        Switch destination;
        Moment retryAt;

        OpenContact(Contact contact, Skill skill, Moment answerBy, Moment targetFrom, Moment firstTryAt) {
            this.firstTryAt = firstTryAt;
            this.contact = contact;
            this.skill = skill;
            this.answerBy = answerBy;
            waitUntil = earlier(answerBy, targetFrom.plus(skill.target.times(CIRCUIT_WAIT_TARGET_SHARE)));
            retryUntil = earlier(answerBy, targetFrom.plus(skill.target));
        }
    }

    /** Keeps the contacts that are owed a final answer, and gives all orders for them. */
    final class ContactManager extends Actor<ContactManager> {
        final Map<Long, OpenContact> openContacts = new LinkedHashMap<>();
        /** The number of contacts whose ring is in flight, by the switch that was asked. */
        final Map<Switch, Integer> ringsByTarget = new HashMap<>();

        final Map<Long, Moment> firstTryByNumber = new LinkedHashMap<>();
        Moment probedAt = NEVER;
        /** When the module started, or null once its groups were sent to the peers. */
        Moment groupsUnsentSince = now;

        void established(long contact) {
            OpenContact openContact = removeOpen(contact);
            if (openContact == null) {
                return;
            }
            firstTryByNumber.remove(openContact.contact.dialledNumber());
            if (openContact.ringTarget != openContact.destination) {
                openContact.destination.enqueue(new TandemOutcome(openContact.ringTarget, true));
            }
        }

        /** If the home switch had no room, retrying within the answer target avoids redials. */
        void circuitDenied(OpenContact openContact, boolean byHomeSwitch) {
            Moment retryTime = now.plus(urgentSkill.target.times(RETRY_DELAY_TARGET_SHARE));
            if (openContact != null
                    && byHomeSwitch
                    && !openContact.contact.inTransit()
                    && retryTime.before(openContact.waitUntil)) {
                openContact.requested = false;
                retryAt(openContact, retryTime);
            } else {
                defer(openContact);
            }
        }

        /** Sends the numbers that this exchange has groups to, for peers that need a tandem. */
        void sendGroupsToPeers() {
            BitSet groups = new BitSet();
            switchesWithGroup.values().stream()
                    .filter(target -> target.number >= 0)
                    .forEach(target -> groups.set(target.number));
            byte[] groupBits = groups.toByteArray();
            ByteBuffer note = ByteBuffer.allocate(2 + groupBits.length)
                    .putShort((short) homeNumber)
                    .put(groupBits);
            orders.sendNote(Orders.ALL_PEERS, note.array());
        }

        void peerNoteReceived(byte[] note) {
            int tandem = note.length < 2
                    ? -1
                    : Short.toUnsignedInt(ByteBuffer.wrap(note).getShort());
            // Weights of an exchange that is not listed would be kept forever.
            if (switchesByNumber.containsKey(tandem)) {
                BitSet groups = BitSet.valueOf(Arrays.copyOfRange(note, 2, note.length));
                switchesByNumber.forEach((number, destination) ->
                        destination.enqueue(new TandemGroupReported(tandem, groups.get(number))));
            }
        }

        void startTimer(OpenContact openContact, Moment expiry) {
            orders.startTimer(expiry.since(now).atLeast(timerRound), timerToken(openContact.contact.id()));
        }

        private static long timerToken(long contact) {
            return contact * 2;
        }

        void contactOffered(Contact contact) {
            // Two timer rounds early: a timer may expire a round late, and a late answer counts as none.
            Moment answerBy = now.plus(contact.patience()).plus(timerRound.times(-2));
            boolean isKnownSkill = contact.skill() >= 0 && contact.skill() < skills.length;
            Skill skill = skills[isKnownSkill ? contact.skill() : cheapestSkillId];
            // In order of time; checking every entry for each contact would be too slow in a flood of redials.
            for (Iterator<Moment> firstTryAt = firstTryByNumber.values().iterator();
                    firstTryAt.hasNext() && now.since(firstTryAt.next()).longerThan(maxPatience); ) {
                firstTryAt.remove();
            }
            if (firstTryByNumber.size() >= MAX_FIRST_TRIES) {
                firstTryByNumber.remove(firstTryByNumber.keySet().iterator().next());
            }
            Moment firstTryAt = contact.dialledNumber() == 0 || contact.inTransit()
                    ? now
                    : firstTryByNumber.computeIfAbsent(contact.dialledNumber(), any -> now);
            OpenContact openContact =
                    new OpenContact(contact, skill, answerBy, skill.rank == 0 ? now : firstTryAt, firstTryAt);
            openContacts.put(contact.id(), openContact);
            // Started first, so that the contact ends even if a later step fails.
            startTimer(openContact, answerBy);
            if (!now.before(answerBy)) {
                defer(openContact);
                return;
            }
            if (isAllowed("peers")
                    && groupsUnsentSince != null
                    && now.since(groupsUnsentSince).longerThan(urgentSkill.target)) {
                // Not at the start: peers that start at the same time would miss the note.
                groupsUnsentSince = null;
                sendGroupsToPeers();
            }
            startTimer(openContact, openContact.waitUntil);
            boolean probeDue = now.since(probedAt).longerThan(urgentSkill.target.times(PROBE_INTERVAL_TARGET_SHARE));
            if (probeDue && homeSwitch() != null && isAllowed("probes")) {
                probedAt = now;
                orders.probe(homeSwitch().id);
            }
            requestCircuit(openContact);
        }

        void requestCircuit(OpenContact openContact) {
            openContact.destination = switchByNumber(openContact.contact.destination());
            // Numbers of the own exchange need no trunk; over a tandem the contact would return here.
            if (openContact.destination == null
                    || openContact.destination == homeSwitch()
                    || openContact.ringCount >= numberSetting("policy-limits.send-cap", 1)) {
                defer(openContact);
                return;
            }
            changeState(openContact, ContactState.AWAITING_CIRCUIT);
            (openContact.requested || homeSwitch() == null ? openContact.destination : homeSwitch())
                    .enqueue(new CircuitRequest(
                            openContact.contact,
                            openContact.skill,
                            openContact.destination,
                            !openContact.requested,
                            openContact.waitUntil,
                            countRingsInFlight(),
                            openContact.firstTryAt,
                            Set.copyOf(openContact.triedSwitches)));
            openContact.requested = true;
        }

        /** Rings in flight; a switch that answers none of them counts for a few only. */
        int countRingsInFlight() {
            return ringsByTarget.values().stream()
                    .mapToInt(count -> Math.min(MAX_COUNTED_RINGS_PER_SWITCH, count))
                    .sum();
        }

        void changeState(OpenContact openContact, ContactState state) {
            forgetRing(openContact);
            openContact.state = state;
            if (state == ContactState.RINGING) {
                ringsByTarget.merge(openContact.ringTarget, 1, Integer::sum);
            }
        }

        private void forgetRing(OpenContact openContact) {
            if (openContact.state == ContactState.RINGING) {
                ringsByTarget.computeIfPresent(
                        openContact.ringTarget, (target, count) -> count == 1 ? null : count - 1);
            }
        }

        /** Removes an open contact; its state stays as it was. Returns null if it was not open. */
        private OpenContact removeOpen(long contact) {
            OpenContact removed = openContacts.remove(contact);
            if (removed != null) {
                forgetRing(removed);
                orders.cancelTimers(timerToken(contact));
            }
            return removed;
        }

        void circuitGranted(long contact, Switch target) {
            OpenContact openContact = openContacts.get(contact);
            if (openContact == null
                    || openContact.state != ContactState.AWAITING_CIRCUIT
                    || !now.before(openContact.answerBy)) {
                target.enqueue(new ReleaseCircuits(contact));
                return;
            }
            openContact.ringTarget = target;
            changeState(openContact, ContactState.RINGING);
            openContact.triedSwitches.add(target.id);
            openContact.ringCount++;
            orders.ring(contact, target.id, openContact.answerBy.since(now));
        }

        void ringEnded(RingEnd end) {
            OpenContact openContact = end.answered() ? removeOpen(end.contact()) : openContacts.get(end.contact());
            if (openContact == null || end.answered() || end.ring() != openContact.ringCount - 1) {
                return;
            }
            if (openContact.ringTarget != openContact.destination && end.cause() != RingEndCause.NOT_SENT) {
                openContact.destination.enqueue(new TandemOutcome(openContact.ringTarget, false));
            }
            boolean mayHoldCircuits = EnumSet.of(RingEndCause.TIMED_OUT, RingEndCause.CUT, RingEndCause.CALLED_OFF)
                    .contains(end.cause());
            boolean processorFull = end.rejectionReason() == RejectionReason.PROCESSOR
                    || end.rejectionReason() == RejectionReason.BEYOND_FULL;
            boolean isFinal = openContact.contact.inTransit() || end.cause() == RingEndCause.BUSY || processorFull;
            Moment retryTime = mayHoldCircuits ? now.plus(releaseTime).plus(timerRound) : now;
            if (!isFinal && retryTime.before(openContact.retryUntil)) {
                retryAt(openContact, retryTime);
            } else if (mayHoldCircuits) {
                abandon(openContact);
            } else {
                defer(openContact);
            }
        }

        void retryAt(OpenContact openContact, Moment retryTime) {
            changeState(openContact, ContactState.AWAITING_RETRY);
            openContact.retryAt = retryTime;
            startTimer(openContact, retryTime);
        }

        void timerExpired(long contact) {
            OpenContact openContact = openContacts.get(contact);
            if (openContact == null || !now.before(openContact.answerBy)) {
                abandon(openContact);
            } else if (openContact.state == ContactState.AWAITING_RETRY && !now.before(openContact.retryAt)) {
                requestCircuit(openContact);
            } else if (openContact.state == ContactState.AWAITING_CIRCUIT && !now.before(openContact.waitUntil)) {
                defer(openContact);
            }
        }

        // Final answers are given only here and in abandon; the contact is removed first, so nothing can follow.
        void defer(OpenContact openContact) {
            if (close(openContact)) {
                double retryAfterNs =
                        isAllowed("retry-after") ? numberSetting("policy-limits.max-retry-after-ns", 0) : 0;
                orders.defer(
                        openContact.contact.id(),
                        openContact.contact.inTransit() ? Span.ZERO : new Span((long) retryAfterNs));
            }
        }

        void abandon(OpenContact openContact) {
            if (close(openContact)) {
                orders.abandon(openContact.contact.id());
            }
        }

        /** Ends an open contact and releases the circuits it holds; returns false if it was not open. */
        boolean close(OpenContact openContact) {
            if (openContact == null || removeOpen(openContact.contact.id()) == null) {
                return false;
            }
            if (openContact.state == ContactState.AWAITING_CIRCUIT && openContact.destination != null) {
                openContact.destination.enqueue(new ReleaseCircuits(openContact.contact.id()));
                (homeSwitch() == null ? openContact.destination : homeSwitch())
                        .enqueue(new ReleaseCircuits(openContact.contact.id()));
            } else if (openContact.state == ContactState.RINGING && isAllowed("cancel")) {
                orders.cancel(openContact.contact.id(), openContact.ringCount - 1);
            }
            return true;
        }
    }

    private final Map<String, String> settings;
    private final Orders orders;
    private final SplittableRandom random;
    private Moment now;
    private final ArrayDeque<Actor<?>> pendingActors = new ArrayDeque<>();
    final Map<Long, Switch> switches = new TreeMap<>();
    private final Map<Long, Switch> switchesWithGroup = new TreeMap<>();
    private final Map<Integer, Switch> switchesByNumber = new HashMap<>();
    private final Map<Integer, Map<Integer, TandemWeight>> weightsByDestination = new HashMap<>();
    final Skill[] skills;
    private Skill urgentSkill;
    private int cheapestSkillId;
    private Span maxPatience = Span.ZERO;
    private final List<String> reportFields;
    private final Span timerRound;
    private final Span releaseTime;
    private final Span warmUpTime;
    private final int homeNumber;
    final ContactManager contactManager;

    /** Reads the settings; the same settings, seed and events give the same orders. */
    public RoutingPolicy(Map<String, String> settings, long seed, Moment now, Orders orders) {
        this.settings = settings;
        this.orders = orders;
        this.now = now;
        random = new SplittableRandom(seed);
        timerRound = new Span((long) numberSetting("round-ns", 5e6));
        releaseTime = new Span((long) numberSetting("family-info.release-ns", 0));
        warmUpTime = new Span((long) numberSetting("guarantees.warm-within-ns", 1));
        homeNumber = (int) numberSetting("family-info.home-no", -1);
        reportFields = Arrays.asList(settings.getOrDefault("report.fields", "").split(","));
        skills = readSkills();
        contactManager = new ContactManager();
        switchListReceived(now, ListKind.FAILED, List.of());
    }

    /** A setting that is a number, or the first of a list of them. */
    private double numberSetting(String name, double defaultValue) {
        return listItem(settings.get(name), 0, defaultValue);
    }

    private boolean isAllowed(String option) {
        return "true".equals(settings.get("policy-limits." + option));
    }

    private static double listItem(String list, int position, double defaultValue) {
        String[] items = list == null ? new String[0] : list.split(",");
        return position < items.length && !items[position].isBlank()
                ? Double.parseDouble(items[position].trim())
                : defaultValue;
    }

    private Skill[] readSkills() {
        int count = (int) numberSetting("classes.count", 1);
        Integer[] byValue = new Integer[count];
        Arrays.setAll(byValue, i -> i);
        Arrays.sort(byValue, Comparator.comparingDouble(i -> -numberSetting("classes." + i + ".worth", 1)));
        Skill[] skills = new Skill[count];
        for (int rank = 0; rank < count; rank++) {
            int skillId = byValue[rank];
            String prefix = "classes." + skillId + ".";
            // The cheapest skill takes the bronze shares; those between take silver, then gold, from below.
            int shareColumn = rank == 0 ? 0 : Math.max(1, 3 - (count - 1 - rank));
            int width = (int) listItem(settings.get("family-info.widths"), skillId, 1);
            Span meanHold = new Span((long) listItem(settings.get("family-info.mean-hold-ns"), skillId, 1e10));
            skills[skillId] = new Skill(
                    skillId,
                    rank,
                    shareColumn,
                    width,
                    new Span((long) numberSetting(prefix + "aim-ns", 1e9)),
                    meanHold,
                    List.of(settings.getOrDefault("family-info.class-cells." + skillId, "")
                            .split(",")));
            maxPatience = maxPatience.atLeast(new Span((long) numberSetting(prefix + "hard-limit-ns", 9e9)));
        }
        urgentSkill = skills[byValue[0]];
        cheapestSkillId = byValue[count - 1];
        return skills;
    }

    /** Share of a group that a skill may hold. Shares of classes without a skill go to the cheapest skill. */
    double skillShare(int skill, int stage) {
        double unassigned = 1;
        for (Skill other : skills) {
            unassigned -= STAGE_SHARES[stage][other.shareColumn];
        }
        return STAGE_SHARES[stage][skills[skill].shareColumn]
                + (skill == cheapestSkillId ? Math.max(0, unassigned) : 0);
    }

    /** Interval between one exchange's trials of a switch, so that the trials of all exchanges don't load it. */
    Span trialInterval() {
        return urgentSkill.target.times(Math.max(1, switchesByNumber.size() / EXCHANGES_PER_TRIAL_TARGET));
    }

    static Moment earlier(Moment first, Moment second) {
        return first.before(second) ? first : second;
    }

    /** Rises linearly from 0 at {@code start} to 1 at {@code end}. */
    static double ramp(double value, double start, double end) {
        return Math.max(0, Math.min(1, (value - start) / (end - start)));
    }

    Switch homeSwitch() {
        return switchByNumber(homeNumber);
    }

    Switch switchByNumber(int number) {
        return switchesByNumber.get(number);
    }

    Switch switchById(long id) {
        return switches.computeIfAbsent(id, Switch::new);
    }

    @Override
    public void switchListReceived(Moment eventTime, ListKind kind, List<SwitchEntry> entries) {
        // If the list is subscribed to, a failed subscription is renewed; otherwise drains would be missed.
        if (kind == ListKind.FAILED && "subscribe".equals(settings.get("discovery"))) {
            orders.watchSwitchList(true);
        }
        entries.forEach(entry -> process(eventTime, switchById(entry.id()), new SwitchListed(entry)));
        boolean isComplete = kind == ListKind.FULL || kind == ListKind.CACHED;
        Set<Long> listedIds =
                new HashSet<>(entries.stream().map(SwitchEntry::id).toList());
        switches.values().stream()
                .filter(knownSwitch -> isComplete && !listedIds.contains(knownSwitch.id))
                .forEach(knownSwitch -> process(
                        eventTime,
                        knownSwitch,
                        new SwitchListed(
                                new SwitchEntry(knownSwitch.id, knownSwitch.number, SwitchEntry.State.GONE, null, 0))));
        // While a machine replaces another, both have the number; the one that is ready takes precedence.
        // A switch known only from a report has no number yet and is no destination.
        switchesByNumber.clear();
        switches.values()
                .forEach(knownSwitch -> switchesByNumber.merge(
                        knownSwitch.number,
                        knownSwitch,
                        (current, other) ->
                                current.state == SwitchEntry.State.READY || other.state != SwitchEntry.State.READY
                                        ? current
                                        : other));
        switchesByNumber.keySet().removeIf(number -> number < 0);
        // Replaced machines that hold nothing are removed; otherwise they would be kept and counted forever.
        switches.values()
                .removeIf(knownSwitch -> knownSwitch.state == SwitchEntry.State.GONE
                        && switchesByNumber.get(knownSwitch.number) != knownSwitch
                        && knownSwitch.inFlight.isEmpty()
                        && knownSwitch.established.isEmpty()
                        && knownSwitch.waitingRequests.isEmpty());
        switchesWithGroup.keySet().retainAll(switches.keySet());
    }

    /** Delivers a message and all messages that follow from it. */
    private <A extends Actor<A>> void process(Moment eventTime, A actor, Message<A> message) {
        now = eventTime;
        if (actor != null) {
            actor.enqueue(message);
        }
        while (!pendingActors.isEmpty()) {
            pendingActors.poll().processInbox();
        }
    }

    @Override
    public void contactOffered(Moment eventTime, Contact contact) {
        process(eventTime, contactManager, new ContactOffered(contact));
    }

    @Override
    public void established(Moment eventTime, long contact, int ring, long target, Span setUpTime) {
        process(eventTime, switchById(target), new SwitchContactEstablished(contact, setUpTime));
        process(eventTime, homeSwitch(), new SwitchContactEstablished(contact, setUpTime));
        process(eventTime, contactManager, new ContactEstablished(contact));
    }

    @Override
    public void ringEnded(Moment eventTime, RingEnd end) {
        process(eventTime, switchById(end.target()), new SwitchRingEnded(end));
        process(eventTime, contactManager, new ContactRingEnded(end));
    }

    @Override
    public void callerGone(Moment eventTime, long contact) {
        process(eventTime, contactManager, new CallerGone(contact));
    }

    @Override
    public void timerExpired(Moment eventTime, long token) {
        // Odd tokens belong to switches, even ones to contacts; the rest of the token is the id.
        if ((token & 1) == 1) {
            process(eventTime, switchById(token >> 1), new ServeWaitingRequests());
        } else {
            process(eventTime, contactManager, new ContactTimerExpired(token >> 1));
        }
    }

    @Override
    public void switchReported(Moment eventTime, long target, boolean reached, Span responseTime, float[] report) {
        process(eventTime, switchById(target), new SwitchReported(report));
    }

    @Override
    public void peerNoteReceived(Moment eventTime, int peer, byte[] note) {
        process(eventTime, contactManager, new PeerNoteReceived(note));
    }

    @Override
    public void stopped(Moment eventTime) {
        now = eventTime;
    }
}
