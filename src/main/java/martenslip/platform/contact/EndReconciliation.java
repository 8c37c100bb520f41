package martenslip.platform.contact;

import martenslip.control.Moment;
import martenslip.eventloop.TimerWheel;
import martenslip.platform.contact.EndedContacts.EarlyBye;
import martenslip.platform.contact.EndedContacts.EarlyRelease;
import martenslip.platform.contact.EndedContacts.SettledEnd;

/**
 * Matches the ends of contacts with the callers that name them, in whichever order the two arrive, and tells the side
 * that does not know of the end yet. Belongs to the decision thread.
 */
final class EndReconciliation {
    /** The connection of the set-up was the one of an earlier process. */
    private static final long UNKNOWN_CONNECTION = 0;

    private final TimerWheel wheel;
    private final OutboundMessages outbound;
    private final ReleaseSender releaseSender;
    private final ContactCounters counters;
    private final EndedContacts endedContacts = new EndedContacts(this::endGivenUp);

    EndReconciliation(
            TimerWheel wheel, OutboundMessages outbound, ReleaseSender releaseSender, ContactCounters counters) {
        this.wheel = wheel;
        this.outbound = outbound;
        this.releaseSender = releaseSender;
        this.counters = counters;
    }

    /** The number of ends that wait for a caller to name their contact. */
    int unclaimedCount() {
        return endedContacts.unclaimedCount();
    }

    /** A contact that was known here has ended. */
    void contactSettled(String tag, SettledEnd end) {
        endedContacts.settled(tag, end, wheel.now());
    }

    /**
     * Another switch's process has followed at the address of a switch, and may have released contacts under the id of the
     * earlier one: their callers name them at the new switch.
     */
    void switchReplaced(long switchId, long newSwitchId) {
        endedContacts.switchReplaced(switchId, newSwitchId);
    }

    /** Whether a contact with this id was forwarded to a switch a short time ago and has ended since. */
    boolean hasEnded(String tag) {
        return endedContacts.settledEnd(tag, wheel.now()) != null;
    }

    /**
     * Keeps a switch's release of a contact that is not known here, unless the contact has ended here before. The
     * release is acknowledged once the contact's caller has heard of it: the switch then need not send it to the process
     * that may follow this one.
     */
    void releaseReceivedForUnknownContact(long switchId, long switchConnectionId, String tag, int q850Cause) {
        Moment now = wheel.now();
        if (endedContacts.settledEnd(tag, now) != null) {
            if (!releaseSender.isPending(tag)) {
                outbound.sendFinished(switchId, switchConnectionId, tag);
            }
            return;
        }
        counters.earlyReleases++;
        outbound.log(
                "early-release",
                tag + " is not known; released by switch " + switchId + " on connection " + switchConnectionId
                        + " with cause " + q850Cause + "; kept until its caller names it");
        endedContacts.releasedBySwitch(tag, new EarlyRelease(switchId, switchConnectionId, q850Cause), now);
        if (counters.namedGivenUp > 0 && !releaseSender.isPending(tag)) {
            // Its caller may have named it before, and then waits for nothing but the release.
            releaseSender.search(
                    tag, EndCause.toCaller(q850Cause), () -> searchEnded(switchId, switchConnectionId, tag));
        }
    }

    private void searchEnded(long switchId, long switchConnectionId, String tag) {
        EarlyRelease release = endedContacts.claimRelease(tag, wheel.now());
        if (release != null) {
            outbound.log("early-release", tag + ": its caller was found among those that had named more than is kept");
            contactSettled(tag, new SettledEnd(true, release.q850Cause()));
        }
        outbound.sendFinished(switchId, switchConnectionId, tag);
    }

    /** Keeps a caller's BYE for a contact that is not known here, unless the contact has ended here before. */
    void byeReceivedForUnknownContact(String tag) {
        Moment now = wheel.now();
        if (endedContacts.settledEnd(tag, now) == null) {
            counters.earlyByes++;
            endedContacts.releasedByCaller(tag, now);
        }
    }

    /**
     * Tells the caller or the switch if the contact that this caller names as established has ended already; returns
     * false if it has not.
     */
    boolean endIsSettledAtNaming(SetUpRequest naming, long switchId) {
        Moment now = wheel.now();
        String tag = naming.tag();
        EarlyRelease release = endedContacts.claimRelease(tag, now);
        if (release != null && release.switchId() == switchId) {
            return tellCaller(
                    naming,
                    EndCause.toCaller(release.q850Cause()),
                    "released by its switch before",
                    () -> outbound.sendFinished(switchId, release.switchConnectionId(), tag));
        }
        EarlyBye bye = endedContacts.claimBye(tag, now);
        if (bye != null) {
            return tellSwitch(naming, switchId, bye);
        }
        SettledEnd end = endedContacts.settledEnd(tag, now);
        if (end != null && end.wasEstablished()) {
            return tellCaller(naming, end.q850Cause(), "ended here before", () -> {});
        }
        return false;
    }

    private boolean tellCaller(SetUpRequest naming, int q850Cause, String reason, Runnable onAcknowledged) {
        counters.overWhenNamed++;
        outbound.log("named", naming.tag() + " at " + naming.establishedSwitch() + " is over: " + reason);
        releaseSender.release(naming.tag(), naming.calledNumber(), q850Cause, naming.connectionId(), onAcknowledged);
        contactSettled(naming.tag(), new SettledEnd(true, q850Cause));
        return true;
    }

    private boolean tellSwitch(SetUpRequest naming, long switchId, EarlyBye bye) {
        counters.overWhenNamed++;
        outbound.log("named", naming.tag() + " at " + naming.establishedSwitch() + " is over: released by its caller");
        outbound.sendFinish(switchId, UNKNOWN_CONNECTION, naming.tag(), bye.q850Cause(), () -> {});
        contactSettled(naming.tag(), new SettledEnd(true, bye.q850Cause()));
        return true;
    }

    private void endGivenUp(String tag, Record end) {
        outbound.log("end-given-up", tag + ": nobody has named it; " + end);
    }
}
