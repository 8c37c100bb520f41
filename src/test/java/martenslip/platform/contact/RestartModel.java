package martenslip.platform.contact;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import martenslip.InterleavingExplorer;
import martenslip.InterleavingExplorer.Event;
import martenslip.RoutingPolicy;
import martenslip.RuleChecker;
import martenslip.control.Moment;
import martenslip.control.Span;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.message.MessageParser;
import martenslip.sip.message.Request;
import martenslip.sip.transport.QueuedMessage;

/**
 * One contact that was established before its controller was killed and started again. The model lists what may come
 * next: its naming on two connections, either side's end, repeated and late messages, the ends of connections, of the
 * switch's process and of its entry in the list. Once nothing more comes, both sides must agree whether the contact
 * stands, and the table with them.
 */
final class RestartModel extends CheckedOutboundMessages implements InterleavingExplorer.Simulation {
    /** What the model does wrong on purpose, to show that its checks find it. */
    enum PlantedFault {
        NONE,
        /** A release that comes before the naming is not kept. */
        RELEASE_BEFORE_NAMING_FORGOTTEN,
        /** A BYE that comes before the naming is not kept. */
        BYE_BEFORE_NAMING_FORGOTTEN,
        /** A release is not sent again. */
        RELEASE_SENT_ONCE
    }

    private static final int CONTACT_NUMBER = 1;
    private static final String TAG = ContactTableHarness.tag(CONTACT_NUMBER);
    private static final long SWITCH_ID = 101;
    private static final long SWITCH_CONNECTION_ID = 9;
    private static final long FIRST_CONNECTION = 3;
    private static final long SECOND_CONNECTION = 4;
    private static final Span TIME_STEP = Span.ofMillis(200);
    private static final int MAX_TIME_STEPS = 60;

    private final PlantedFault plantedFault;
    private final TimerWheel wheel = new TimerWheel(new Moment(0));
    private final ContactTable contactTable;
    /** Events that may happen once each, by name. */
    private final Map<String, Runnable> remainingEvents = new LinkedHashMap<>();

    private boolean callerHolds = true;
    private boolean switchHolds = true;
    private boolean switchListed = true;
    private boolean switchProcessEnded;
    private boolean named;
    private boolean byeReceivedByCaller;
    private boolean firstConnectionCut;
    private boolean firstConnectionEnded;
    private int timeSteps;

    /** The number of events to choose from. */
    static final int EVENT_COUNT = 9;

    /** {@code eventMask} has a bit for each event that may happen, in the order of the constructor's list. */
    RestartModel(PlantedFault plantedFault, int eventMask) {
        super(
                new RuleChecker(Span.ZERO, Span.ofMillis(300), Span.ofMillis(10_000)),
                "early-release",
                "named",
                "release",
                "switch-over",
                "process-over",
                "unheard");
        this.plantedFault = plantedFault;
        contactTable = new ContactTable(
                wheel,
                new ContactSettings(List.of("cheap", "dear"), 100, Span.ofMillis(9000), Span.ofMillis(20)),
                this);
        contactTable.setController(new RoutingPolicy(ContactTableModel.settings(), 7, wheel.now(), contactTable));
        List<Event> allEvents = List.of(
                new Event("named on the first connection", () -> nameContact(FIRST_CONNECTION)),
                new Event("named on the second connection", () -> nameContact(SECOND_CONNECTION)),
                new Event("switch releases", this::switchReleases),
                new Event("release on an ended connection", this::releaseOnEndedConnection),
                new Event("caller sends BYE", this::callerSendsBye),
                new Event("first connection is cut", () -> firstConnectionCut = true),
                new Event("first connection ends", this::endFirstConnection),
                new Event("switch process ends", this::endSwitchProcess),
                new Event("switch leaves the list", this::unlistSwitch));
        for (int i = 0; i < allEvents.size(); i++) {
            if ((eventMask & 1 << i) != 0) {
                remainingEvents.put(allEvents.get(i).name(), allEvents.get(i).action());
            }
        }
    }

    @Override
    public List<Event> enabledEvents() {
        List<Event> events = new ArrayList<>();
        if (contactTable.unacknowledgedReleaseCount() > 0 && timeSteps < MAX_TIME_STEPS) {
            events.add(new Event("time", this::advanceTime));
        }
        if (byeReceivedByCaller) {
            events.add(new Event("caller answers", this::callerAnswers));
        }
        if (switchProcessEnded && contactTable.establishedCount() > 0) {
            events.add(new Event("silence is noticed", () -> contactTable.switchProcessEnded(SWITCH_ID)));
        }
        for (Map.Entry<String, Runnable> event : remainingEvents.entrySet()) {
            events.add(new Event(event.getKey(), () -> {
                remainingEvents.remove(event.getKey());
                event.getValue().run();
            }));
        }
        return events;
    }

    @Override
    public void checkQuiescent() {
        if (!named) {
            return;
        }
        if (callerHolds && !switchHolds) {
            rules.addViolation("release", "the caller was not told of the end");
        }
        if (switchHolds && !callerHolds) {
            rules.addViolation("release", "the switch was not told of the end");
        }
        if (contactTable.establishedCount() != (callerHolds && switchHolds ? 1 : 0)) {
            rules.addViolation("kept", "established here: " + contactTable.establishedCount());
        }
    }

    private void advanceTime() {
        timeSteps++;
        wheel.advanceTo(wheel.now().plus(TIME_STEP));
    }

    private void nameContact(long connectionId) {
        if (connectionId == FIRST_CONNECTION && firstConnectionEnded) {
            return;
        }
        named = true;
        SetUpRequest naming = ContactTableHarness.namingRequest(connectionId, CONTACT_NUMBER);
        if (switchListed) {
            contactTable.establishedContactReported(naming, SWITCH_ID);
        } else {
            contactTable.establishedContactReportedAtUnknownSwitch(naming);
        }
    }

    private boolean isForgotten(PlantedFault fault) {
        return plantedFault == fault && contactTable.establishedCount() == 0;
    }

    private void switchReleases() {
        switchHolds = false;
        if (!isForgotten(PlantedFault.RELEASE_BEFORE_NAMING_FORGOTTEN)) {
            contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, TAG, 16, null, new float[0]);
        }
    }

    /** The same release as it was read from another connection, or the only one that was read. */
    private void releaseOnEndedConnection() {
        switchHolds = false;
        if (!isForgotten(PlantedFault.RELEASE_BEFORE_NAMING_FORGOTTEN)) {
            contactTable.releasedOnEndedConnection(SWITCH_ID, SWITCH_CONNECTION_ID + 1, TAG, 16);
        }
    }

    private void callerSendsBye() {
        callerHolds = false;
        if (!isForgotten(PlantedFault.BYE_BEFORE_NAMING_FORGOTTEN)) {
            contactTable.byeReceived(SECOND_CONNECTION, ContactTableHarness.request("BYE", CONTACT_NUMBER));
        }
    }

    private void callerAnswers() {
        byeReceivedByCaller = false;
        contactTable.releaseAnswered(1, TAG, true);
    }

    private void endFirstConnection() {
        firstConnectionEnded = true;
        contactTable.callerConnectionEnded(FIRST_CONNECTION);
    }

    private void endSwitchProcess() {
        switchHolds = false;
        contactTable.switchProcessEnded(SWITCH_ID);
        switchProcessEnded = true;
    }

    private void unlistSwitch() {
        switchListed = false;
        switchHolds = false;
        contactTable.switchProcessEnded(SWITCH_ID);
        contactTable.switchRemoved(SWITCH_ID);
    }

    @Override
    public boolean sendToCaller(long connectionId, byte[] encodedMessage) {
        if (connectionId == FIRST_CONNECTION && firstConnectionEnded) {
            return false;
        }
        boolean isRelease = MessageParser.parseMinimal(encodedMessage, encodedMessage.length)
                        .message()
                instanceof Request;
        boolean isDelivered = connectionId != FIRST_CONNECTION || !firstConnectionCut;
        if (isRelease && isDelivered) {
            callerHolds = false;
            byeReceivedByCaller = true;
        }
        return true;
    }

    @Override
    public long otherCallerConnection(Set<Long> excludedConnectionIds) {
        return plantedFault == PlantedFault.RELEASE_SENT_ONCE ? 0 : SECOND_CONNECTION;
    }

    @Override
    public QueuedMessage sendStart(long switchId, SwitchStartRequest start, Runnable unsent) {
        rules.addViolation("start", "a contact that is established was sent to a switch");
        return null;
    }

    @Override
    public void sendFinish(long switchId, long switchConnectionId, String tag, int q850Cause, Runnable written) {
        switchHolds = false;
        written.run();
    }
}
