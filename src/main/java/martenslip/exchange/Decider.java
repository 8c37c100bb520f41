package martenslip.exchange;

import java.util.List;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.Controller.ListKind;
import martenslip.control.ControllerFactory;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.RejectionReason;
import martenslip.control.RingEnd;
import martenslip.control.RingEndCause;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.eventloop.TimerWheel;
import martenslip.signaling.EventPackageCodec;
import martenslip.signaling.ListedSwitch;
import martenslip.signaling.SipLoadReport;
import martenslip.tracking.ContactRegistry;
import martenslip.tracking.InFlightCircuits;

/**
 * Runs the controller: keeps the state it decides on (known switches, free circuits of the trunk groups, tracked
 * contacts), delivers events to it in order and passes its orders on to the lanes. One thread owns it and is the only
 * one that allocates circuits, so no circuit is given to two lanes.
 */
final class Decider implements LaneReports {
    private final ExchangeConfiguration configuration;
    private final TimerWheel timerWheel;
    private final LaneCommands laneCommands;
    private final EventLog log;
    private final SwitchRegistry switchRegistry;
    private final PendingEvents pendingEvents = new PendingEvents();
    private final ContactRegistry contactRegistry;
    private final Controller controller;
    private final InFlightCircuits inFlightCircuits = new InFlightCircuits();
    private boolean started;
    private boolean switchListWatchRequested;
    private TimerWheel.Timer delayedOfferTimer;

    Decider(
            ExchangeConfiguration configuration,
            ControllerFactory controllerFactory,
            long seed,
            TimerWheel timerWheel,
            LaneCommands laneCommands,
            EventLog log) {
        this.configuration = configuration;
        this.timerWheel = timerWheel;
        this.laneCommands = laneCommands;
        this.log = log;
        switchRegistry = new SwitchRegistry(configuration);
        controller = controllerFactory.create(
                configuration.settings(Exchange.MAX_TIMER_LATENESS), seed, timerWheel.now(), new OrderExecutor());
        contactRegistry = new ContactRegistry(controller, configuration.rules().releaseTime(), laneCommands::cancel);
    }

    /**
     * Called once when the lanes and the network monitor exist; applies a switch list watch that the controller
     * requested before.
     */
    void start() {
        started = true;
        if (switchListWatchRequested) {
            laneCommands.watchSwitchList(true);
        }
    }

    /** Delivers all pending events to the controller; called at the end of each turn of the owning thread. */
    void deliverPendingEvents() {
        pendingEvents.deliverAll(timerWheel.now());
        Moment dueAt = contactRegistry.nextOfferAt();
        if (dueAt != null && (delayedOfferTimer == null || !delayedOfferTimer.isScheduled())) {
            delayedOfferTimer = timerWheel.scheduleAt(dueAt, () -> pendingEvents.add(contactRegistry::offerDue));
        }
    }

    /** Queues the event that tells the controller of the stop. */
    void stop() {
        pendingEvents.add(controller::stopped);
    }

    SwitchRegistry switchRegistry() {
        return switchRegistry;
    }

    /** Number of contacts that the controller may still give orders for. */
    int trackedContactCount() {
        return contactRegistry.size();
    }

    @Override
    public boolean contactOffered(Contact contact, int laneNumber) {
        pendingEvents.add(now -> contactRegistry.contactOffered(now, contact, laneNumber));
        return true;
    }

    @Override
    public void firstResponseReceived(long contactId, int ringNumber, int farExchange) {
        inFlightCircuits.responseReceived(timerWheel.now(), farExchange, contactId, ringNumber);
    }

    private float[] reportValues(SipLoadReport loadReport, SwitchRegistry.GroupCircuits group) {
        return loadReport.toReportValues(
                group == null ? 0 : group.availableCircuits(),
                group == null ? 0 : group.total,
                configuration.configuredReportFields());
    }

    private SipLoadReport withoutInFlightCircuits(SipLoadReport loadReport, int farExchange) {
        return loadReport.totalCircuits() < 0
                ? loadReport
                : loadReport.withFewerFreeCircuits(inFlightCircuits.inFlightCount(timerWheel.now(), farExchange));
    }

    @Override
    public void established(long contactId, int ringNumber, long target, Span setupTime, SipLoadReport loadReport) {
        pendingEvents.add(now -> contactRegistry.established(now, contactId, ringNumber, target, setupTime));
        ListedSwitch listedSwitch = switchRegistry.switchById(target);
        int farExchange = listedSwitch == null ? -1 : listedSwitch.entry().number();
        firstResponseReceived(contactId, ringNumber, farExchange);
        SipLoadReport adjustedLoadReport = withoutInFlightCircuits(loadReport, farExchange);
        if (adjustedLoadReport != SipLoadReport.NONE && adjustedLoadReport.totalCircuits() >= 0) {
            float[] values = adjustedLoadReport.toReportValues(
                    adjustedLoadReport.freeCircuits(),
                    adjustedLoadReport.totalCircuits(),
                    configuration.configuredReportFields());
            pendingEvents.add(now -> controller.switchReported(now, target, true, Span.ZERO, values));
        }
    }

    @Override
    public void ringEnded(RingResult result) {
        SwitchRegistry.GroupCircuits group = switchRegistry.groupToward(result.farExchange());
        inFlightCircuits.ringEnded(result.farExchange(), result.contactId(), result.ringNumber());
        switchRegistry.releaseCircuits(result.farExchange(), result.width());
        float[] values = reportValues(withoutInFlightCircuits(result.loadReport(), result.farExchange()), group);
        RingOutcome outcome = result.outcome();
        RingEnd ringEnd = new RingEnd(
                result.contactId(),
                result.ringNumber(),
                result.target(),
                outcome.cause(),
                outcome.rejectionReason(),
                result.elapsed(),
                result.answered(),
                values);
        pendingEvents.add(now -> contactRegistry.ringEnded(now, ringEnd));
    }

    @Override
    public void callerGone(long contactId) {
        pendingEvents.add(now -> contactRegistry.callerGone(now, contactId));
    }

    @Override
    public void openContactsReported(int laneNumber, List<ContactRegistry.LaneContact> laneContacts) {
        log.warn(timerWheel.now(), "inherited", "lane", laneNumber, "contacts", laneContacts.size());
        pendingEvents.add(now -> contactRegistry.reconcileLane(now, laneNumber, laneContacts));
    }

    @Override
    public void switchListReceived(ListKind kind, List<ListedSwitch> entries) {
        if (kind != ListKind.FAILED) {
            switchRegistry.updateSwitches(entries, kind != ListKind.CHANGES);
        }
        List<SwitchEntry> switchEntries =
                entries.stream().map(ListedSwitch::entry).toList();
        pendingEvents.add(now -> controller.switchListReceived(now, kind, switchEntries));
        if (kind == ListKind.FAILED || kind == ListKind.CACHED) {
            return;
        }
        // A machine that takes over an exchange number is new to the controller, so it gets the state of its group
        // again.
        for (ExchangeConfiguration.Group group : configuration.groups().values()) {
            SwitchRegistry.GroupCircuits circuits = switchRegistry.groupToward(group.farExchange());
            if (circuits.known) {
                reportGroupCircuits(circuits);
            }
        }
    }

    @Override
    public void groupStatesReceived(List<EventPackageCodec.GroupState> groupStates) {
        inFlightCircuits.retainContacts(contactRegistry::contains);
        for (EventPackageCodec.GroupState groupState : groupStates) {
            SwitchRegistry.GroupCircuits group = switchRegistry.updateGroup(groupState);
            if (group != null) {
                group.free -= inFlightCircuits.inFlightCount(timerWheel.now(), group.configuration.farExchange());
                reportGroupCircuits(group);
            }
        }
    }

    private void reportGroupCircuits(SwitchRegistry.GroupCircuits group) {
        float[] values = reportValues(SipLoadReport.NONE, group);
        for (ListedSwitch listedSwitch : switchRegistry.switchesNotGone(group.configuration.farExchange())) {
            pendingEvents.add(
                    now -> controller.switchReported(now, listedSwitch.entry().id(), true, Span.ZERO, values));
        }
    }

    @Override
    public void probeCompleted(long target, boolean reached, Span elapsed, SipLoadReport loadReport) {
        ListedSwitch listedSwitch = switchRegistry.switchById(target);
        SwitchRegistry.GroupCircuits group = listedSwitch == null
                ? null
                : switchRegistry.groupToward(listedSwitch.entry().number());
        float[] values = loadReport == null ? new float[0] : reportValues(loadReport, group);
        pendingEvents.add(now -> controller.switchReported(now, target, reached, elapsed, values));
    }

    @Override
    public void peerNoteReceived(int peerNumber, byte[] note) {
        pendingEvents.add(now -> controller.peerNoteReceived(now, peerNumber, note));
    }

    /**
     * Passes the orders of the controller on at once. A switch list watch requested during the construction of the
     * controller waits for {@link #start}.
     */
    private final class OrderExecutor implements Orders {
        @Override
        public void ring(long contactId, long target, Span timeLimit) {
            int ringNumber = contactRegistry.ringOrdered(contactId, target);
            if (ringNumber < 0) {
                log.warn(timerWheel.now(), "ring-for-unknown", "contact", contactId);
                return;
            }
            ListedSwitch listedSwitch = switchRegistry.switchById(target);
            if (listedSwitch == null) {
                RingEnd ringEnd = new RingEnd(
                        contactId,
                        ringNumber,
                        target,
                        RingEndCause.NOT_SENT,
                        RejectionReason.NONE,
                        Span.ZERO,
                        false,
                        new float[0]);
                pendingEvents.add(now -> contactRegistry.ringEnded(now, ringEnd));
                return;
            }
            int farExchange = listedSwitch.entry().number();
            switchRegistry.seizeCircuits(farExchange, contactRegistry.width(contactId));
            inFlightCircuits.ringSent(farExchange, contactId, ringNumber, contactRegistry.width(contactId));
            SwitchRegistry.GroupCircuits group = switchRegistry.groupToward(farExchange);
            laneCommands.ring(
                    contactId,
                    new LaneCommands.RingCommand(
                            ringNumber, target, listedSwitch, group == null ? null : group.configuration, timeLimit));
        }

        @Override
        public void cancel(long contactId, int ringNumber) {
            laneCommands.cancel(contactId, contactRegistry.laneRingNumber(contactId, ringNumber));
        }

        @Override
        public void defer(long contactId, Span retryAfter) {
            laneCommands.defer(contactId, retryAfter);
            contactRegistry.contactAnswered(contactId);
        }

        @Override
        public void abandon(long contactId) {
            laneCommands.abandon(contactId);
            contactRegistry.contactAnswered(contactId);
        }

        @Override
        public void startTimer(Span delay, long token) {
            timerWheel.scheduleAfter(delay, () -> pendingEvents.add(now -> controller.timerExpired(now, token)));
        }

        @Override
        public void probe(long target) {
            ListedSwitch listedSwitch = switchRegistry.switchById(target);
            if (listedSwitch == null) {
                probeCompleted(target, false, Span.ZERO, null);
            } else {
                laneCommands.probe(listedSwitch);
            }
        }

        @Override
        public void sendNote(int peerNumber, byte[] note) {
            laneCommands.sendNote(peerNumber, note);
        }

        @Override
        public void watchSwitchList(boolean enabled) {
            if (started) {
                laneCommands.watchSwitchList(enabled);
            } else {
                switchListWatchRequested = enabled;
            }
        }

        @Override
        public void log(String message) {
            log.info(timerWheel.now(), "module", "line", message);
        }
    }
}
