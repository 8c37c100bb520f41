package martenslip;

import java.nio.ByteBuffer;
import java.util.*;
import martenslip.control.*;

/*
 * The module: every decision of martenslip. A program makes one Logic for each exchange, tells it what
 * happens through martenslip.control.Controller and carries out what it orders through its Orders. A call
 * becomes notes in inboxes, which one loop empties before the call returns. See docs/design.md.
 */
public final class RoutingPolicy implements Controller {
    // Thresholds of urgent demand: the paper's but for the first, as 11.2% is never met at a few urgent
    // contacts in a hundred, and a full group then keeps nothing for them. Table 2's upper limits over their
    // stage's total: emergency, gold, silver, bronze.
    static final double[] STAGES = {0.02, 0.256, 0.40, 0.60};
    static final double[][] SHARES = {
        {0.112, 0.400, 0.428, 0.060},
        {0.256, 0.336, 0.359, 0.049},
        {0.400, 0.180, 0.375, 0.045},
        {0.600, 0.137, 0.235, 0.028},
        {0.800, 0.163, 0.037, 0.000}
    };
    // Binding levels, in square roots of the group's size: the spread of circuits held by chance arrivals.
    // They bind early for a contact over a tandem, which takes circuits of two groups, and for a late one.
    static final double NEAR_FULL = 0.15, NEAR_FULL_EARLY = 0.5;
    static final double WEIGHT_UP = 0.3, WEIGHT_DOWN = 0.5, WEIGHT_NEW = 0.6, WEIGHT_LEAST = 0.05;
    // The part of its capacity that a processor is taken to be loaded with on an ordinary day.
    static final double FULL_WORK = 0.8;
    // What is sent to a cold switch over its part of the usual: well under the rule's multiple.
    static final double COLD_WORK = 1.25;
    // The work of a message that waits at a processor, in set-ups: most are looks, answers and repeats.
    static final double MESSAGE = 0.4;
    // More set-ups, messages or milliseconds than any processor has: such a figure is a fault of its report.
    static final double MOST_TOLD = 1e6;
    // Rings out that one switch may count for; how much readier a late contact is kept back; the gap
    // between trials of a silent switch, in turns; exchanges whose trials together are no load on one.
    static final int MOST_OUT = 3, LATE_BACK = 3, TRIAL_GAP = 4;
    static final double FEW = 6;
    // The part of its answer target that a contact may wait for a circuit, the rest is for the set-up; and
    // the part after which it looks again where its own processor had no room.
    static final double WORTH_WAITING = 0.5, AGAIN = 0.25;
    static final Moment NEVER = new Moment(Long.MIN_VALUE / 4);

    enum DenialReason {
        SHARE,
        FULL,
        PRESSED,
        COLD,
        DOWN
    }

    /** A note in an inbox; it knows which part of its reader takes it. */
    interface Message<A> {
        void to(A it);
    }

    record ContactOffered(Contact contact) implements Message<ContactManager> {
        public void to(ContactManager a) {
            a.offered(contact);
        }
    }

    record ContactAnswered(long contact) implements Message<ContactManager> {
        public void to(ContactManager a) {
            a.answered(contact);
        }
    }

    record ContactRingEnded(RingEnd end) implements Message<ContactManager> {
        public void to(ContactManager a) {
            a.over(end);
        }
    }

    record CallerGone(long id) implements Message<ContactManager> {
        public void to(ContactManager a) {
            a.letGo(a.open.get(id));
        }
    }

    record ContactTimerExpired(long contact) implements Message<ContactManager> {
        public void to(ContactManager a) {
            a.rung(contact);
        }
    }

    record CircuitDenied(long id, boolean own) implements Message<ContactManager> {
        public void to(ContactManager a) {
            a.denied(a.open.get(id), own);
        }
    }

    record CircuitGranted(long contact, Switch target) implements Message<ContactManager> {
        public void to(ContactManager a) {
            a.granted(contact, target);
        }
    }

    /** A contact looks for its next ring: first at the own exchange's switch, then at its destination's. */
    record CircuitRequest(
            Contact contact,
            Skill skill,
            Switch destination,
            boolean first,
            Moment waitUntil,
            int out,
            Moment firstTry,
            Set<Long> tried)
            implements Message<Switch> {
        public void to(Switch a) {
            a.asked(this);
        }

        int width() {
            return Math.max(1, contact.width());
        }

        boolean urgent() {
            return skill.rank == 0;
        }

        /** Its answer target began with the first try: a cheap contact past it pays little and goes last. */
        boolean late(Moment now) {
            return !urgent() && !now.before(firstTry.plus(skill.target));
        }

        CircuitRequest again() {
            return new CircuitRequest(contact, skill, destination, false, waitUntil, out, firstTry, tried);
        }
    }

    record TandemRequest(CircuitRequest ask, List<Switch> others) implements Message<Switch> {
        public void to(Switch a) {
            a.through(ask, others);
        }
    }

    record ContactEstablished(long contact, Span took) implements Message<Switch> {
        public void to(Switch a) {
            a.stood(contact, took);
        }
    }

    record SwitchRingEnded(RingEnd end) implements Message<Switch> {
        public void to(Switch a) {
            a.ended(end);
        }
    }

    record ReleaseCircuits(long id) implements Message<Switch> {
        public void to(Switch a) {
            a.giveBack(id);
        }
    }

    record ServeWaitingRequests() implements Message<Switch> {
        public void to(Switch a) {
            a.ticking = false;
            a.serve();
        }
    }

    record AllowTrial() implements Message<Switch> {
        public void to(Switch a) {
            a.nextTrial = NEVER;
        }
    }

    record SwitchListed(SwitchEntry line) implements Message<Switch> {
        public void to(Switch a) {
            a.listed(line);
        }
    }

    record SwitchReported(float[] says) implements Message<Switch> {
        public void to(Switch a) {
            a.reported(says);
        }
    }

    record TandemGroupReported(int tandem, boolean leads) implements Message<Switch> {
        public void to(Switch a) {
            a.linked(tandem, leads);
        }
    }

    record PeerNoteReceived(byte[] note) implements Message<ContactManager> {
        public void to(ContactManager a) {
            a.heard(note);
        }
    }

    record TandemOutcome(Switch tandem, boolean well) implements Message<Switch> {
        public void to(Switch a) {
            a.judge(tandem, well);
        }
    }

    /** A skill as the settings describe it; rank 0 is the urgent one, the row its place in the paper. */
    record Skill(int id, int rank, int row, int width, Span target, Span hold, List<String> pools) {
        /** With pools in place of a mesh a skill has only some of them. */
        boolean goes(int number) {
            return pools.contains("") || pools.contains("" + number);
        }
    }

    /** A histogram over doubling bins below a scale, halved each third period; one bin makes it a count. */
    static final class DecayingHistogram {
        final double[] bins;
        final Span scale, period;
        final Moment began;
        long halvings;

        DecayingHistogram(int bins, Span scale, Span period, Moment now) {
            this.bins = new double[bins];
            this.scale = scale;
            this.period = period;
            began = now;
        }

        private double age(Moment now) {
            double passed = now.since(began).ratioTo(period) / 3;
            for (; halvings < (long) passed; halvings++) {
                for (int i = 0; i < bins.length; i++) {
                    bins[i] = bins[i] < 0.01 ? 0 : bins[i] / 2;
                }
            }
            return passed;
        }

        void add(double amount, Span span, Moment now) {
            age(now);
            int bin = bins.length - 1;
            for (Span edge = scale; bin > 0 && edge.longerThan(span); edge = edge.times(0.5)) {
                bin--;
            }
            bins[bin] += amount;
        }

        /** The mean for one period; while young, over what has passed but not under a whole period. */
        double mean(Moment now) {
            double seen = 3 * (1 + age(now) - halvings - Math.pow(0.5, halvings));
            return Arrays.stream(bins).sum() / Math.max(1, seen);
        }

        /** The upper edge of the bin that holds this part of what was seen; zero where too little was. */
        Span quantile(double part, Moment now) {
            age(now);
            double total = Arrays.stream(bins).sum(), left = total * part;
            for (int i = 0; total >= 1 && i < bins.length; i++) {
                left -= bins[i];
                if (left <= 0) {
                    return scale.times(Math.pow(2, i - bins.length + 2));
                }
            }
            return Span.ZERO;
        }
    }

    private DecayingHistogram count(Span period) {
        return new DecayingHistogram(1, period, period, now);
    }

    class Actor<A extends Actor<A>> {
        private final ArrayDeque<Message<A>> inbox = new ArrayDeque<>();

        final void put(Message<A> note) {
            if (inbox.isEmpty()) {
                busy.add(this);
            }
            inbox.add(note);
        }

        @SuppressWarnings("unchecked")
        final void empty() {
            while (!inbox.isEmpty()) {
                try {
                    inbox.peek().to((A) this);
                } catch (RuntimeException e) {
                    // It costs this piece of news; left in there, it would keep later ones from being read.
                    // A fault that comes often has no trace.
                    orders.log("fault: " + e + " at "
                            + Arrays.stream(e.getStackTrace()).limit(1).toList());
                } finally {
                    inbox.poll();
                }
            }
        }
    }

    /** A ring's circuits on the group; since is null once the contact stands. */
    private record HeldCircuits(Skill skill, int width, Moment since) {}

    /** What time mends, but for 0: no group leads on there. */
    private record TandemWeight(double then, Moment at) {}

    final class Switch extends Actor<Switch> {
        final long id;
        int number = -1, zone = -1;
        SwitchEntry.State state = SwitchEntry.State.GONE;
        Moment started;
        int free, size;
        // Apart, as what stands is many times what is out, and each contact asks for the first one out.
        final Map<Long, HeldCircuits> rings = new LinkedHashMap<>(), standing = new HashMap<>();
        final int[] held = new int[skills.length];
        final DecayingHistogram urgent = count(urgentOne.hold);
        Map<Integer, TandemWeight> weights = new TreeMap<>();
        final List<CircuitRequest> waiting = new ArrayList<>();
        boolean ticking, mute;
        final DecayingHistogram setUps = new DecayingHistogram(8, patienceMost, urgentOne.target.times(1 / 3.0), now);
        final DecayingHistogram sent = count(urgentOne.target),
                answers = count(urgentOne.target),
                asks = count(urgentOne.target);
        double warmRate, budget, cutBy, usual, depth;
        Moment budgetAt = now, lastSign = now, nextTrial = NEVER, toldAt = NEVER;
        Span wait = Span.ZERO;

        Switch(long id) {
            this.id = id;
        }

        void stood(long contact, Span took) {
            if (silent()) {
                // It may have been cut off together with others, which else wait for their trials one by one.
                switches.values().stream()
                        .filter(other -> other.zone == zone)
                        .forEach(other -> other.put(new AllowTrial()));
            }
            setUps.add(1, took, now);
            answers.add(1, Span.ZERO, now);
            sign();
            HeldCircuits ring = rings.remove(contact);
            if (ring != null) {
                standing.put(contact, new HeldCircuits(ring.skill, ring.width, null));
            }
        }

        void listed(SwitchEntry line) {
            number = line.number();
            // A machine that takes another's place keeps its groups, and so what was learned of them.
            weights = weightsTo.computeIfAbsent(number, any -> new TreeMap<>());
            state = line.state();
            zone = line.zone();
            if (line.startedAt() != null && (started == null || started.before(line.startedAt()))) {
                // What was known of the processor that ran before says nothing of this one.
                started = line.startedAt();
                // One share of many senders is a fraction of a contact: who may send one early is drawn.
                budget = chance.nextDouble();
                budgetAt = now;
                sign();
                toldAt = NEVER;
            }
        }

        void reported(float[] report) {
            if (report.length >= 2 && Float.isFinite(report[0]) && Float.isFinite(report[1])) {
                size = Math.max(0, Math.round(report[1]));
                free = Math.max(0, Math.min(size, Math.round(report[0])));
                legs.remove(id);
                if (size > 0) {
                    legs.put(id, this);
                }
            }
            for (int i = 2; i < report.length && i < fields.size(); i++) {
                // No number, or more than any processor does, was not told: it would be learned for good.
                double value = report[i] <= MOST_TOLD ? report[i] : -1;
                toldAt = value < 0 ? toldAt : now;
                switch (value < 0 ? "" : fields.get(i)) {
                    case "cut_by" -> cutBy = value;
                    case "depth" -> depth = value;
                    case "mean_ms" -> wait = Span.ofMillis(value);
                    case "allowed" -> {
                        usual += (value - usual) * (value > usual ? 0.2 : 0.002);
                        // One that takes nothing at the first word is jammed, not free.
                        cutBy = usual == 0 ? 1 : Math.max(0, 1 - value / usual / FULL_WORK);
                        double pace = Math.max(0.01, Math.max(value, usual / 100));
                        wait = Span.ofMillis(1000 * MESSAGE * depth / pace);
                    }
                }
            }
            serve();
        }

        void ended(RingEnd end) {
            HeldCircuits ring = giveBack(end.contact());
            if (end.cause() == RingEndCause.TURNED_BACK || end.cause() == RingEndCause.BUSY) {
                sign();
            } else if (end.cause() == RingEndCause.TIMED_OUT && ring != null && ring.since != null) {
                mute |= lastSign.before(ring.since);
            }
            reported(end.report());
        }

        HeldCircuits giveBack(long contact) {
            waiting.removeIf(ask -> ask.contact.id() == contact);
            HeldCircuits ring = rings.containsKey(contact) ? rings.remove(contact) : standing.remove(contact);
            if (ring != null) {
                held[ring.skill.id] -= ring.width;
            }
            return ring;
        }

        void sign() {
            lastSign = now;
            mute = false;
        }

        void take(CircuitRequest ask) {
            rings.put(ask.contact.id(), new HeldCircuits(ask.skill, ask.width(), now));
            held[ask.skill.id] += ask.width();
            free -= ask.width();
            sent.add(1, Span.ZERO, now);
            warmRate += coldPart() < 1 ? 0 : (sent.mean(now) - warmRate) / 16;
            front.put(new CircuitGranted(ask.contact.id(), this));
        }

        int stage() {
            double demand = size == 0 ? 0 : urgent.mean(now) / size;
            return (int) Arrays.stream(STAGES)
                    .filter(threshold -> demand > threshold)
                    .count();
        }

        /** Circuits that no ring from here explains were placed at the far end and count as the cheapest. */
        int holds(int skill) {
            int unknown = Math.max(0, size - free - Arrays.stream(held).sum());
            return held[skill] + (skill == cheapest ? unknown : 0);
        }

        /** Null where the group takes the contact, else why not. */
        DenialReason admits(CircuitRequest ask, boolean tandem) {
            if (free < ask.width()) {
                return DenialReason.FULL;
            }
            boolean early = tandem || ask.late(now);
            double level = Math.max((early ? NEAR_FULL_EARLY : NEAR_FULL) * Math.sqrt(size), urgentOne.width);
            if (ask.urgent() || free - ask.width() >= level) {
                return null;
            }
            // With next to no urgent demand a class may fill the group.
            int stage = stage();
            double limit = stage == 0 ? size : share(ask.skill.id, stage) * size;
            return !early && holds(ask.skill.id) + ask.width() <= limit ? null : DenialReason.SHARE;
        }

        /** Rings out and no word for longer than set-ups here take: it may be hung, cut off, jammed, slow. */
        boolean silent() {
            Span longest = setUps.quantile(0.9, now).times(2).atLeast(urgentOne.target);
            return mute
                    || rings.values().stream()
                            .limit(1)
                            .anyMatch(out -> lastSign.before(out.since)
                                    && now.since(out.since).longerThan(longest));
        }

        double coldPart() {
            double age = started == null ? 1 : Math.max(0, now.since(started).ratioTo(warmWithin));
            return age >= 1 ? 1 : 1 - (1 - number("guarantees.cold-share", 0.2)) * (1 - age);
        }

        /** Each exchange sends a cold processor its own usual part, cut as its capacity is. */
        boolean spendCold(CircuitRequest ask) {
            double part = coldPart();
            if (part >= 1) {
                return true;
            }
            // Asks count by half: after a refusal the same caller asks again. A rush says nothing of the processor, and
            // one that started a moment ago has seen nothing else: no more than the group is built to carry.
            double built = size * sent.period.ratioTo(skills[cheapest].hold) / skills[cheapest].width;
            double usualSent = Math.min(built, Math.max(warmRate, asks.mean(now) / 2));
            part *= Math.min(COLD_WORK, 0.6 * number("guarantees.fall-multiple", 1));
            double periods = now.since(budgetAt).ratioTo(sent.period);
            budget = Math.min(2, budget + usualSent * part * periods);
            budgetAt = now;
            return budget >= 1 && budget-- > 0;
        }

        /** The part of the contacts of this skill to keep back from this processor. */
        double pressure(Skill skill, int out) {
            Span age = toldAt == NEVER ? patienceMost : now.since(toldAt);
            // An old report must not shut a switch for good: with nothing sent there, no better one comes.
            double fresh = Math.pow(0.5, age.ratioTo(turn()));
            Span rings = this == home() ? setUps.quantile(0.25, now) : Span.ZERO;
            // Rings out over answers in a time is the wait to come, known before the first slow answer.
            double queued =
                    Math.max(0, out - 1) / Math.max(3, answers.mean(now)) * answers.period.ratioTo(skill.target);
            double slow = Math.max(queued, wait.times(fresh).atLeast(rings).ratioTo(skill.target));
            // One that takes next to nothing is jammed: what is sent there, however dear, only feeds it.
            return skill.rank == 0
                    ? Math.max(ramp(cutBy * fresh, 0.85, 0.95), ramp(slow, 1, 2))
                    : Math.max(cutBy * fresh, ramp(slow, 0.2, 0.7));
        }

        DenialReason processor(CircuitRequest ask) {
            boolean trial = silent();
            // A draining own processor still sets up; what it is to send elsewhere is no new work to it.
            boolean up = state == SwitchEntry.State.READY || this == home() && state != SwitchEntry.State.GONE;
            if (!up || trial && now.before(nextTrial)) {
                return DenialReason.DOWN;
            }
            if (trial) {
                // The trials of all exchanges must not keep a slow processor jammed.
                nextTrial = now.plus(turn().times(TRIAL_GAP));
            }
            double back = trial ? 0 : pressure(ask.skill, this == ask.destination ? 0 : ask.out);
            back *= ask.late(now) ? LATE_BACK : 1;
            return back >= 1 || ask.first && chance.nextDouble() < back ? DenialReason.PRESSED : null;
        }

        void asked(CircuitRequest ask) {
            DenialReason reason = processor(ask);
            boolean transit = ask.contact.inTransit();
            if (this != ask.destination) {
                if (reason == null) {
                    ask.destination.put(ask);
                } else {
                    refuse(ask, DenialReason.PRESSED);
                }
                return;
            }
            asks.add(ask.first ? 1 : 0, Span.ZERO, now);
            // A blocked caller who asks again is one want.
            if (ask.first && ask.urgent() && now.before(ask.firstTry.plus(ask.skill.target))) {
                urgent.add(ask.width(), Span.ZERO, now);
            }
            reason = reason == null ? admits(ask, transit) : reason;
            reason = reason == null && !spendCold(ask) ? DenialReason.COLD : reason;
            List<Switch> drawn = reason == DenialReason.FULL && !transit && coldPart() >= 1 ? draw(ask) : List.of();
            if (reason == null) {
                take(ask);
            } else if (drawn.isEmpty()) {
                // With no group that can ever take it and no tandem, nothing is worth waiting for.
                refuse(ask, size < ask.width() ? DenialReason.DOWN : reason);
            } else {
                pass(ask, drawn);
            }
        }

        /** What may still pay within its answer target waits for a circuit. */
        void refuse(CircuitRequest ask, DenialReason reason) {
            if (ask.contact.inTransit() || reason != DenialReason.FULL || !now.before(ask.waitUntil)) {
                front.put(new CircuitDenied(ask.contact.id(), this != ask.destination));
                return;
            }
            int at = 0;
            while (at < waiting.size() && waiting.get(at).skill.rank <= ask.skill.rank) {
                at++;
            }
            waiting.add(at, ask);
            if (!ticking) {
                ticking = true;
                orders.startTimer(urgentOne.target.times(0.04).atLeast(round), id * 2 + 1);
            }
        }

        double weight(Switch tandem) {
            TandemWeight weight = weights.getOrDefault(tandem.number, new TandemWeight(WEIGHT_NEW, now));
            double mend = Math.pow(0.5, now.since(weight.at).ratioTo(urgentOne.hold.times(4)));
            return weight.then == 0 ? 0 : 1 - (1 - weight.then) * mend;
        }

        void judge(Switch tandem, boolean well) {
            double weight = weight(tandem);
            weight = well ? weight + WEIGHT_UP * (1 - weight) : weight * WEIGHT_DOWN;
            weights.put(tandem.number, new TandemWeight(Math.max(WEIGHT_LEAST, weight), now));
        }

        /** What a tandem itself says of its group to here stands over what was learned of it. */
        void linked(int tandem, boolean leads) {
            weights.put(tandem, new TandemWeight(leads ? WEIGHT_NEW : 0, now));
        }

        /**
         * Tandems in an order drawn by weight, each once for a contact. With a group that can take it a
         * cheap contact draws once; without one a tandem is the planned route.
         */
        List<Switch> draw(CircuitRequest ask) {
            boolean once = size >= ask.width() && ask.width() <= urgentOne.width && !ask.urgent();
            if (once && (!ask.first || ask.late(now))) {
                return List.of();
            }
            Map<Double, Switch> order = new TreeMap<>();
            for (Switch leg : legs.values()) {
                double weight = weight(leg);
                if (leg != this && weight > 0 && !ask.tried.contains(leg.id)) {
                    double last = -Math.log(chance.nextDouble()) / weight;
                    boolean advised = leg.number == ask.contact.routingHint() && chance.nextDouble() < weight;
                    order.put(advised ? -1 : last, leg);
                }
            }
            List<Switch> drawn = new ArrayList<>(order.values());
            return once && !drawn.isEmpty() ? drawn.subList(0, Math.min(ask.width(), drawn.size())) : drawn;
        }

        void through(CircuitRequest ask, List<Switch> others) {
            if (this == ask.destination) {
                refuse(ask, DenialReason.FULL);
            } else if (coldPart() >= 1
                    && state == SwitchEntry.State.READY
                    && ask.skill.goes(number)
                    && !silent()
                    && pressure(ask.skill, 0) == 0
                    && admits(ask, true) == null) {
                take(ask);
            } else {
                pass(ask, others);
            }
        }

        /** The last in the row is the destination again, where the contact waits or is refused. */
        void pass(CircuitRequest ask, List<Switch> row) {
            Switch next = row.isEmpty() ? ask.destination : row.get(0);
            next.put(new TandemRequest(ask, row.subList(Math.min(1, row.size()), row.size())));
        }

        void serve() {
            List<CircuitRequest> turns = new ArrayList<>(waiting);
            waiting.clear();
            for (CircuitRequest ask : turns) {
                if (now.before(ask.waitUntil)) {
                    asked(ask.again());
                }
            }
        }
    }

    enum ContactState {
        SEEKING,
        RINGING,
        RELEASING
    }

    static final class OpenContact {
        final Contact contact;
        final Skill skill;
        final Moment end, worthUntil, paysUntil, firstTry;
        final Set<Long> tried = new HashSet<>();
        ContactState doing = ContactState.SEEKING;
        int rings;
        boolean asked;
        Switch at, destination;
        Moment seekAt;

        OpenContact(Contact contact, Skill skill, Moment end, Moment from, Moment firstTry) {
            this.firstTry = firstTry;
            this.contact = contact;
            this.skill = skill;
            this.end = end;
            worthUntil = first(end, from.plus(skill.target.times(WORTH_WAITING)));
            paysUntil = first(end, from.plus(skill.target));
        }
    }

    final class ContactManager extends Actor<ContactManager> {
        final Map<Long, OpenContact> open = new LinkedHashMap<>();
        final Map<Long, Moment> firstTries = new LinkedHashMap<>();
        Moment probedAt = NEVER, startedAt = now;

        void answered(long contact) {
            OpenContact one = open.remove(contact);
            if (one == null) {
                return;
            }
            firstTries.remove(one.contact.dialledNumber());
            if (one.at != one.destination) {
                one.destination.put(new TandemOutcome(one.at, true));
            }
        }

        /** Where the own processor has no room, a few more looks within the time that pays spare redials. */
        void denied(OpenContact one, boolean own) {
            Moment again = now.plus(urgentOne.target.times(AGAIN));
            if (one != null && own && !one.contact.inTransit() && again.before(one.worthUntil)) {
                one.asked = false;
                seekAt(one, again);
            } else {
                defer(one);
            }
        }

        /** The numbers that this exchange has groups to, for peers that look for a tandem. */
        void tellGroups() {
            BitSet groups = new BitSet();
            legs.values().stream().filter(leg -> leg.number >= 0).forEach(leg -> groups.set(leg.number));
            byte[] bits = groups.toByteArray();
            ByteBuffer note = ByteBuffer.allocate(2 + bits.length)
                    .putShort((short) homeNumber)
                    .put(bits);
            orders.sendNote(Orders.ALL_PEERS, note.array());
        }

        void heard(byte[] note) {
            int tandem = note.length < 2
                    ? -1
                    : Short.toUnsignedInt(ByteBuffer.wrap(note).getShort());
            // One of no exchange that is listed would only be kept, and for good.
            if (numbers.containsKey(tandem)) {
                BitSet groups = BitSet.valueOf(Arrays.copyOfRange(note, 2, note.length));
                numbers.forEach((number, to) -> to.put(new TandemGroupReported(tandem, groups.get(number))));
            }
        }

        void clock(OpenContact one, Moment at) {
            orders.startTimer(at.since(now).atLeast(round), one.contact.id() * 2);
        }

        void offered(Contact contact) {
            // Two rounds early: a clock is heard up to a round late, and a late answer counts as none.
            Moment end = now.plus(contact.patience()).plus(round.times(-2));
            boolean known = contact.skill() >= 0 && contact.skill() < skills.length;
            Skill skill = skills[known ? contact.skill() : cheapest];
            // They stand in the order of time: a look at each, at every contact, is what a flood of redials costs.
            for (Iterator<Moment> first = firstTries.values().iterator();
                    first.hasNext() && now.since(first.next()).longerThan(patienceMost); ) {
                first.remove();
            }
            Moment first = contact.dialledNumber() == 0 || contact.inTransit()
                    ? now
                    : firstTries.computeIfAbsent(contact.dialledNumber(), any -> now);
            OpenContact one = new OpenContact(contact, skill, end, skill.rank == 0 ? now : first, first);
            open.put(contact.id(), one);
            // First of all, so that it ends whatever becomes of the rest.
            clock(one, end);
            if (!now.before(end)) {
                defer(one);
                return;
            }
            if (may("peers") && startedAt != null && now.since(startedAt).longerThan(urgentOne.target)) {
                // Not at once: peers that start together with this one would not hear it.
                startedAt = null;
                tellGroups();
            }
            clock(one, one.worthUntil);
            boolean due = now.since(probedAt).longerThan(urgentOne.target.times(0.4));
            if (due && home() != null && may("probes")) {
                probedAt = now;
                orders.probe(home().id);
            }
            seek(one);
        }

        void seek(OpenContact one) {
            one.destination = byNumber(one.contact.destination());
            // A number of the own exchange is no matter of trunks: over a tandem it would come back here.
            if (one.destination == null
                    || one.destination == home()
                    || one.rings >= number("policy-limits.send-cap", 1)) {
                defer(one);
                return;
            }
            one.doing = ContactState.SEEKING;
            (one.asked || home() == null ? one.destination : home())
                    .put(new CircuitRequest(
                            one.contact,
                            one.skill,
                            one.destination,
                            !one.asked,
                            one.worthUntil,
                            out(),
                            one.firstTry,
                            Set.copyOf(one.tried)));
            one.asked = true;
        }

        /** Rings without an answer; a switch that swallows them counts for a few only. */
        int out() {
            Map<Switch, Integer> out = new HashMap<>();
            open.values().stream()
                    .filter(one -> one.doing == ContactState.RINGING)
                    .forEach(one -> out.merge(one.at, 1, (a, b) -> Math.min(MOST_OUT, a + b)));
            return out.values().stream().mapToInt(count -> count).sum();
        }

        void granted(long contact, Switch target) {
            OpenContact one = open.get(contact);
            if (one == null || one.doing != ContactState.SEEKING || !now.before(one.end)) {
                target.put(new ReleaseCircuits(contact));
                return;
            }
            one.doing = ContactState.RINGING;
            one.at = target;
            one.tried.add(target.id);
            one.rings++;
            orders.ring(contact, target.id, one.end.since(now));
        }

        void over(RingEnd end) {
            OpenContact one = end.answered() ? open.remove(end.contact()) : open.get(end.contact());
            if (one == null || end.answered() || end.ring() != one.rings - 1) {
                return;
            }
            if (one.at != one.destination && end.cause() != RingEndCause.NOT_SENT) {
                one.destination.put(new TandemOutcome(one.at, false));
            }
            boolean held = EnumSet.of(RingEndCause.TIMED_OUT, RingEndCause.CUT, RingEndCause.CALLED_OFF)
                    .contains(end.cause());
            boolean pressed = end.rejectionReason() == RejectionReason.PROCESSOR
                    || end.rejectionReason() == RejectionReason.BEYOND_FULL;
            boolean done = one.contact.inTransit() || end.cause() == RingEndCause.BUSY || pressed;
            Moment again = held ? now.plus(release).plus(round) : now;
            if (!done && again.before(one.paysUntil)) {
                seekAt(one, again);
            } else if (held) {
                abandon(one);
            } else {
                defer(one);
            }
        }

        void seekAt(OpenContact one, Moment at) {
            one.doing = ContactState.RELEASING;
            one.seekAt = at;
            clock(one, at);
        }

        void rung(long contact) {
            OpenContact one = open.get(contact);
            if (one == null || !now.before(one.end)) {
                abandon(one);
            } else if (one.doing == ContactState.RELEASING && !now.before(one.seekAt)) {
                seek(one);
            } else if (one.doing == ContactState.SEEKING && !now.before(one.worthUntil)) {
                defer(one);
            }
        }

        // The two places of a final answer; a contact is forgotten there, so nothing can follow.
        void defer(OpenContact one) {
            if (letGo(one)) {
                double away = may("retry-after") ? number("policy-limits.max-retry-after-ns", 0) : 0;
                orders.defer(one.contact.id(), one.contact.inTransit() ? Span.ZERO : new Span((long) away));
            }
        }

        void abandon(OpenContact one) {
            if (letGo(one)) {
                orders.abandon(one.contact.id());
            }
        }

        boolean letGo(OpenContact one) {
            if (one == null || open.remove(one.contact.id()) == null) {
                return false;
            }
            if (one.doing == ContactState.SEEKING && one.destination != null) {
                one.destination.put(new ReleaseCircuits(one.contact.id()));
                (home() == null ? one.destination : home()).put(new ReleaseCircuits(one.contact.id()));
            } else if (one.doing == ContactState.RINGING && may("cancel")) {
                orders.cancel(one.contact.id(), one.rings - 1);
            }
            return true;
        }
    }

    private final Map<String, String> settings;
    private final Orders orders;
    private final SplittableRandom chance;
    private Moment now;
    private final ArrayDeque<Actor<?>> busy = new ArrayDeque<>();
    final Map<Long, Switch> switches = new TreeMap<>();
    private final Map<Long, Switch> legs = new TreeMap<>();
    private final Map<Integer, Switch> numbers = new HashMap<>();
    private final Map<Integer, Map<Integer, TandemWeight>> weightsTo = new HashMap<>();
    final Skill[] skills;
    private Skill urgentOne;
    private int cheapest;
    private Span patienceMost = Span.ZERO;
    private final List<String> fields;
    private final Span round, release, warmWithin;
    private final int homeNumber;
    final ContactManager front;

    public RoutingPolicy(Map<String, String> settings, long seed, Moment now, Orders orders) {
        this.settings = settings;
        this.orders = orders;
        this.now = now;
        chance = new SplittableRandom(seed);
        round = new Span((long) number("round-ns", 5e6));
        release = new Span((long) number("family-info.release-ns", 0));
        warmWithin = new Span((long) number("guarantees.warm-within-ns", 1));
        homeNumber = (int) number("family-info.home-no", -1);
        fields = Arrays.asList(settings.getOrDefault("report.fields", "").split(","));
        skills = skills();
        front = new ContactManager();
        switchListReceived(now, ListKind.FAILED, List.of());
    }

    private double number(String name, double otherwise) {
        return item(settings.get(name), 0, otherwise);
    }

    private boolean may(String what) {
        return "true".equals(settings.get("policy-limits." + what));
    }

    private static double item(String list, int at, double otherwise) {
        String[] items = list == null ? new String[0] : list.split(",");
        return at < items.length && !items[at].isBlank() ? Double.parseDouble(items[at].trim()) : otherwise;
    }

    private Skill[] skills() {
        int count = (int) number("classes.count", 1);
        Integer[] byValue = new Integer[count];
        Arrays.setAll(byValue, i -> i);
        Arrays.sort(byValue, Comparator.comparingDouble(i -> -number("classes." + i + ".worth", 1)));
        Skill[] all = new Skill[count];
        for (int rank = 0; rank < count; rank++) {
            int skill = byValue[rank];
            String at = "classes." + skill + ".";
            // The cheapest plays bronze; the ones between take silver, then gold, from below.
            int row = rank == 0 ? 0 : Math.max(1, 3 - (count - 1 - rank));
            int width = (int) item(settings.get("family-info.widths"), skill, 1);
            Span hold = new Span((long) item(settings.get("family-info.mean-hold-ns"), skill, 1e10));
            all[skill] = new Skill(
                    skill,
                    rank,
                    row,
                    width,
                    new Span((long) number(at + "aim-ns", 1e9)),
                    hold,
                    List.of(settings.getOrDefault("family-info.class-cells." + skill, "")
                            .split(",")));
            patienceMost = patienceMost.atLeast(new Span((long) number(at + "hard-limit-ns", 9e9)));
        }
        urgentOne = all[byValue[0]];
        cheapest = byValue[count - 1];
        return all;
    }

    /** Shares of the paper's classes that no skill here plays go to the cheapest, so none is stranded. */
    double share(int skill, int stage) {
        double left = 1;
        for (Skill other : skills) {
            left -= SHARES[stage][other.row];
        }
        return SHARES[stage][skills[skill].row] + (skill == cheapest ? Math.max(0, left) : 0);
    }

    /** How long one sender leaves a doubtful switch alone, so that the trials of all are not a load on it. */
    Span turn() {
        return urgentOne.target.times(Math.max(1, numbers.size() / FEW));
    }

    static Moment first(Moment a, Moment b) {
        return a.before(b) ? a : b;
    }

    static double ramp(double value, double from, double to) {
        return Math.max(0, Math.min(1, (value - from) / (to - from)));
    }

    Switch home() {
        return byNumber(homeNumber);
    }

    Switch byNumber(int number) {
        return numbers.get(number);
    }

    Switch at(long id) {
        return switches.computeIfAbsent(id, Switch::new);
    }

    @Override
    public void switchListReceived(Moment at, ListKind kind, List<SwitchEntry> lines) {
        // Where the list must be asked for, a failed subscription is renewed, or drains would go unheard.
        if (kind == ListKind.FAILED && "subscribe".equals(settings.get("discovery"))) {
            orders.watchSwitchList(true);
        }
        lines.forEach(line -> tell(at, at(line.id()), new SwitchListed(line)));
        boolean all = kind == ListKind.FULL || kind == ListKind.CACHED;
        Set<Long> named = new HashSet<>(lines.stream().map(SwitchEntry::id).toList());
        switches.values().stream()
                .filter(one -> all && !named.contains(one.id))
                .forEach(one -> tell(
                        at,
                        one,
                        new SwitchListed(new SwitchEntry(one.id, one.number, SwitchEntry.State.GONE, null, 0))));
        // While a machine replaces another, both bear the number: the one that takes what is new counts.
        // One that only a report has named, with no number yet, is nobody's destination.
        numbers.clear();
        switches.values()
                .forEach(one -> numbers.merge(
                        one.number,
                        one,
                        (a, b) -> a.state == SwitchEntry.State.READY || b.state != SwitchEntry.State.READY ? a : b));
        numbers.keySet().removeIf(number -> number < 0);
        // A machine that was replaced, and holds nothing any more, would else be kept and counted for good.
        switches.values()
                .removeIf(one -> one.state == SwitchEntry.State.GONE
                        && numbers.get(one.number) != one
                        && one.rings.isEmpty()
                        && one.standing.isEmpty()
                        && one.waiting.isEmpty());
        legs.keySet().retainAll(switches.keySet());
    }

    private <A extends Actor<A>> void tell(Moment at, A actor, Message<A> note) {
        now = at;
        if (actor != null) {
            actor.put(note);
        }
        while (!busy.isEmpty()) {
            busy.poll().empty();
        }
    }

    @Override
    public void contactOffered(Moment at, Contact contact) {
        tell(at, front, new ContactOffered(contact));
    }

    @Override
    public void established(Moment at, long contact, int ring, long target, Span took) {
        tell(at, at(target), new ContactEstablished(contact, took));
        tell(at, home(), new ContactEstablished(contact, took));
        tell(at, front, new ContactAnswered(contact));
    }

    @Override
    public void ringEnded(Moment at, RingEnd end) {
        tell(at, at(end.target()), new SwitchRingEnded(end));
        tell(at, front, new ContactRingEnded(end));
    }

    @Override
    public void callerGone(Moment at, long contact) {
        tell(at, front, new CallerGone(contact));
    }

    @Override
    public void timerExpired(Moment at, long token) {
        if ((token & 1) == 1) {
            tell(at, at(token >> 1), new ServeWaitingRequests());
        } else {
            tell(at, front, new ContactTimerExpired(token >> 1));
        }
    }

    @Override
    public void switchReported(Moment at, long target, boolean reached, Span took, float[] report) {
        tell(at, at(target), new SwitchReported(report));
    }

    @Override
    public void peerNoteReceived(Moment at, int peer, byte[] note) {
        tell(at, front, new PeerNoteReceived(note));
    }

    @Override
    public void stopped(Moment at) {
        now = at;
    }
}
