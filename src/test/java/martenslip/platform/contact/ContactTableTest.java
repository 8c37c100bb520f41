package martenslip.platform.contact;

import static martenslip.platform.contact.ContactTableHarness.SWITCH_CONNECTION_ID;
import static martenslip.platform.contact.ContactTableHarness.SWITCH_ID;
import static martenslip.platform.contact.ContactTableHarness.namingRequest;
import static martenslip.platform.contact.ContactTableHarness.request;
import static martenslip.platform.contact.ContactTableHarness.setUpRequest;
import static martenslip.platform.contact.ContactTableHarness.tag;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import martenslip.control.Span;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * Each event of callers, switches and the module on a contact table: the messages it sends and the events it reports.
 */
public class ContactTableTest {
    private static final float[] NO_REPORT = {};
    private ContactTableHarness harness;
    private ContactTable contactTable;

    @BeforeMethod
    public void begin() {
        harness = new ContactTableHarness();
        contactTable = harness.contactTable;
    }

    /** Offers a contact on connection 1 and rings the switch for it. */
    private void offerAndRing() {
        contactTable.setUpReceived(setUpRequest(1, 1, 3000));
        contactTable.notifyController(controller -> contactTable.ring(1, SWITCH_ID, Span.ofMillis(2990)));
        harness.takeNotifications();
        harness.takeSent();
    }

    private void establish() {
        offerAndRing();
        contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), "c=x\r\n");
        contactTable.ackReceived(tag(1));
        harness.takeNotifications();
        harness.takeSent();
    }

    @Test
    public void theSwitchAnswerIsSentToTheCaller() {
        offerAndRing();
        contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), "c=x\r\n");
        assertEquals(harness.takeSent(), List.of("1: 200 INVITE c=x\r\n"));
        assertEquals(harness.takeNotifications(), List.of("established 1 0 7"));
    }

    @Test
    public void aSecondAnswerIsNotPassedOn() {
        establish();
        contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), "c=y\r\n");
        assertEquals(harness.takeSent(), List.of());
    }

    @Test
    public void anAnswerWithoutDescriptionCancelsTheRing() {
        offerAndRing();
        contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), null);
        assertEquals(harness.takeSent(), List.of("FINISH 7 40 1 16"));
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 CUT NONE false"));
    }

    @Test
    public void anAnswerOfAnotherSwitchOrForAnUnknownContactIsIgnored() {
        offerAndRing();
        contactTable.started(8, SWITCH_CONNECTION_ID, tag(1), "c=x\r\n");
        contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(2), "c=x\r\n");
        assertEquals(harness.takeSent(), List.of());
        assertEquals(harness.takeNotifications(), List.of());
    }

    @Test
    public void patienceCountsFromTheReceiptOfTheLastByte() {
        harness.advanceToMs(400);
        contactTable.setUpReceived(setUpRequest(1, 1, 3000));
        assertEquals(harness.takeNotifications(), List.of("offered 1 1 destination 2 patience 2600"));
    }

    @Test
    public void aDeferralCarriesTheRetryDelay() {
        contactTable.setUpReceived(setUpRequest(1, 1, 3000));
        contactTable.notifyController(controller -> contactTable.defer(1, Span.ofMillis(700)));
        assertEquals(harness.takeSent(), List.of("1: 503 INVITE retry after 700"));
        assertEquals(contactTable.openCount(), 0);
        assertEquals(contactTable.knownTags(), List.of());
    }

    @Test
    public void anAbandonedContactIsAnsweredWith500() {
        contactTable.setUpReceived(setUpRequest(1, 1, 3000));
        contactTable.notifyController(controller -> contactTable.abandon(1));
        assertEquals(harness.takeSent(), List.of("1: 500 INVITE"));
    }

    @Test
    public void noSecondAnswerFollowsTheFirst() {
        contactTable.setUpReceived(setUpRequest(1, 1, 3000));
        contactTable.notifyController(controller -> contactTable.defer(1, Span.ZERO));
        contactTable.notifyController(controller -> contactTable.abandon(1));
        harness.advanceToMs(10_000);
        assertEquals(harness.takeSent(), List.of("1: 503 INVITE"));
    }

    @Test
    public void aContactThatTheModuleLeavesOpenIsAnsweredAtItsDeadline() {
        contactTable.setUpReceived(setUpRequest(1, 1, 3000));
        harness.advanceToMs(3000);
        assertEquals(harness.takeSent(), List.of());
        harness.advanceToMs(3020);
        assertEquals(harness.takeSent(), List.of("log last-word", "1: 500 INVITE"));
        assertTrue(harness.takeNotifications().contains("caller gone 1"));
    }

    @Test
    public void aRingThatTimesOutIsCancelled() {
        offerAndRing();
        harness.advanceToMs(2991);
        assertEquals(harness.takeSent(), List.of("FINISH 7 40 1 16"));
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 TIMED_OUT NONE false"));
    }

    @Test
    public void aCancelledSetUpIsAnsweredOnce() {
        offerAndRing();
        contactTable.cancelReceived(1, request("CANCEL", 1));
        assertEquals(harness.takeSent(), List.of("1: 200 CANCEL", "1: 487 INVITE"));
        assertEquals(harness.takeNotifications(), List.of("caller gone 1"));
        contactTable.notifyController(controller -> contactTable.cancel(1, 0));
        assertEquals(harness.takeSent(), List.of("FINISH 7 40 1 16"));
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 CALLED_OFF NONE true"));
        assertEquals(contactTable.knownTags(), List.of());
    }

    @Test
    public void aRingAnsweredAfterItsCallerLeftIsReleased() {
        offerAndRing();
        contactTable.callerConnectionEnded(1);
        harness.takeNotifications();
        contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), "c=x\r\n");
        assertEquals(harness.takeSent(), List.of("FINISH 7 40 1 16"));
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 CALLED_OFF NONE true"));
    }

    /**
     * Guards against a START written when the connection came up, after its caller had gone; suspected in the trial of
     * the fleet.
     */
    @Test
    public void anUnwrittenAttemptIsRevokedWhenItsCallerCancels() {
        harness.holdsStarts = true;
        offerAndRing();
        contactTable.cancelReceived(1, request("CANCEL", 1));
        contactTable.notifyController(controller -> contactTable.cancel(1, 0));
        assertEquals(harness.takeSent(), List.of("1: 200 CANCEL", "1: 487 INVITE"));
        assertEquals(harness.takeNotifications(), List.of("caller gone 1", "ring ended 1 0 NOT_SENT NONE true"));
        harness.writeStarts();
        assertEquals(harness.takeSent(), List.of(), "neither START nor FINISH");
        assertEquals(contactTable.knownTags(), List.of());
    }

    @Test
    public void anUnwrittenAttemptThatTimesOutEndsAsNotSent() {
        harness.holdsStarts = true;
        offerAndRing();
        harness.advanceToMs(2991);
        harness.writeStarts();
        assertEquals(harness.takeSent(), List.of());
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 NOT_SENT NONE false"));
    }

    @Test
    public void anUnwrittenAttemptEndsAsNotSentWithItsConnection() {
        harness.holdsStarts = true;
        offerAndRing();
        contactTable.switchConnectionEnded(SWITCH_ID, SWITCH_CONNECTION_ID, true);
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 NOT_SENT NONE false"));
        assertEquals(harness.takeSent(), List.of());
    }

    @Test
    public void anAnswerToAnUnwrittenAttemptIsIgnored() {
        harness.holdsStarts = true;
        offerAndRing();
        contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), "c=x\r\n");
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 17, null, NO_REPORT);
        assertEquals(harness.takeSent(), List.of());
        assertEquals(harness.takeNotifications(), List.of());
    }

    /** The reading thread has seen the caller leave, and that event is still queued behind this one. */
    @Test
    public void noStartIsSentForACallerWhoseEndIsStillQueued() {
        contactTable.setUpReceived(harness.setUpRequestWithCancellation(1, 1, 3000));
        harness.lastCancellation.cancel();
        harness.takeNotifications();
        contactTable.notifyController(controller -> contactTable.ring(1, SWITCH_ID, Span.ofMillis(2990)));
        assertEquals(harness.takeSent(), List.of("1: 487 INVITE"));
        assertEquals(harness.takeNotifications(), List.of("caller gone 1"));
        contactTable.notifyController(controller -> contactTable.cancel(1, 0));
        assertEquals(harness.takeSent(), List.of());
        contactTable.callerConnectionEnded(1);
        assertEquals(contactTable.knownTags(), List.of());
    }

    @Test
    public void anAnswerForACallerWhoseEndIsStillQueuedIsReleased() {
        offerAndRing();
        harness.lastCancellation.cancel();
        contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), "c=x\r\n");
        assertEquals(harness.takeSent(), List.of("1: 487 INVITE", "FINISH 7 40 1 16"));
        assertEquals(harness.takeNotifications(), List.of("caller gone 1", "ring ended 1 0 CALLED_OFF NONE true"));
        contactTable.callerConnectionEnded(1);
        assertEquals(contactTable.knownTags(), List.of());
    }

    @Test
    public void aSetUpWhoseCallerHasGoneIsNotOffered() {
        SetUpRequest request = setUpRequest(1, 1, 3000);
        request.cancellation().cancel();
        contactTable.setUpReceived(request);
        assertEquals(harness.takeNotifications(), List.of());
        assertEquals(harness.takeSent(), List.of("1: 487 INVITE"));
        assertEquals(contactTable.knownTags(), List.of());
    }

    @Test
    public void aStartThatIsNoLongerDueIsReportedAsNotSent() {
        harness.holdsStarts = true;
        offerAndRing();
        harness.lastCancellation.cancel();
        harness.writeStarts();
        assertEquals(harness.takeSent(), List.of());
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 NOT_SENT NONE false"));
    }

    /** Rule 5 (release time): it counts from when the FINISH is written, not from when it is ordered. */
    @Test
    public void aCancelledAttemptEndsOnceItsFinishIsWritten() {
        offerAndRing();
        harness.holdsFinishes = true;
        contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), null);
        assertEquals(harness.takeSent(), List.of("FINISH 7 40 1 16"));
        assertEquals(harness.takeNotifications(), List.of());
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 34, "no_circuit", NO_REPORT);
        assertEquals(harness.takeNotifications(), List.of(), "it crossed the FINISH on its way to the switch");
        harness.completeFinishes();
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 CUT NONE false"));
    }

    /**
     * Guards against a late release: in the long scenario 1 of 18,000 came too late, as it waited 0.4 s for each
     * retransmission after its connection had ended.
     */
    @Test
    public void aReleaseOnAConnectionThatEndsIsRetransmittedAtOnce() {
        establish();
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 16, null, NO_REPORT);
        assertEquals(harness.takeSent(), List.of("1: BYE Q.850;cause=16"));
        harness.closedConnections.add(1L);
        harness.otherCallerConnection = 2;
        contactTable.callerConnectionEnded(1);
        assertEquals(harness.takeSent(), List.of("2: BYE Q.850;cause=16"));
        harness.otherCallerConnection = 3;
        contactTable.callerConnectionEnded(2);
        assertEquals(harness.takeSent(), List.of("3: BYE Q.850;cause=16"));
        contactTable.releaseAnswered(1, tag(1), true);
        contactTable.callerConnectionEnded(3);
        assertEquals(harness.takeSent(), List.of("log release"));
    }

    @Test
    public void anotherConnectionCannotCancelAContact() {
        offerAndRing();
        contactTable.cancelReceived(2, request("CANCEL", 1));
        assertEquals(harness.takeSent(), List.of("2: 481 CANCEL"));
        assertEquals(harness.takeNotifications(), List.of());
    }

    @Test
    public void twoSetUpsUnderOneIdOnAConnectionEndIt() {
        offerAndRing();
        contactTable.setUpReceived(setUpRequest(1, 1, 3000));
        assertEquals(harness.takeSent(), List.of("1: disconnected"));
        assertEquals(harness.takeNotifications(), List.of("caller gone 1"));
    }

    @Test
    public void theIdOfAnOpenContactOnAnotherConnectionIsRefused() {
        offerAndRing();
        contactTable.setUpReceived(setUpRequest(2, 1, 3000));
        assertEquals(harness.takeSent(), List.of("2: 482 INVITE"));
        assertEquals(harness.takeNotifications(), List.of());
    }

    @Test
    public void setUpsBeyondTheLimitAreRefusedWithoutAnOffer() {
        for (int i = 1; i <= 4; i++) {
            contactTable.setUpReceived(setUpRequest(1, i, 3000));
        }
        assertEquals(harness.takeSent(), List.of("1: 503 INVITE"));
        assertEquals(contactTable.openCount(), 3);
    }

    @Test
    public void aReleaseBySwitchIsSentOnAnotherConnectionAsBye() {
        establish();
        harness.closedConnections.add(1L);
        harness.otherCallerConnection = 5;
        contactTable.ended(SWITCH_ID, 41, tag(1), 16, null, new float[] {3, 9});
        assertEquals(harness.takeSent(), List.of("5: BYE Q.850;cause=16"));
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 CONCLUDED NONE true [3.0, 9.0]"));
    }

    @Test
    public void aReleaseIsRetransmittedUntilAcknowledged() {
        establish();
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 41, null, NO_REPORT);
        harness.advanceToMs(151);
        assertEquals(harness.takeSent(), List.of("1: BYE Q.850;cause=41", "1: BYE Q.850;cause=41"));
        contactTable.releaseAnswered(1, tag(1), true);
        harness.advanceToMs(5000);
        assertEquals(harness.takeSent(), List.of("log release"));
        assertEquals(contactTable.unacknowledgedReleaseCount(), 0);
    }

    /** Guards against a release that is late as three connections in a row did not carry it (soak of the fleet trial). */
    @Test
    public void aReleaseTriesFourConnectionsWithinTheSecondItIsDueIn() {
        establish();
        harness.furtherCallerConnections.addAll(List.of(2L, 3L, 4L));
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 16, null, NO_REPORT);
        for (int ms = 10; ms <= 600; ms += 10) {
            harness.advanceToMs(ms);
        }
        assertEquals(
                harness.takeSent().subList(0, 4),
                List.of(
                        "1: BYE Q.850;cause=16",
                        "2: BYE Q.850;cause=16",
                        "3: BYE Q.850;cause=16",
                        "4: BYE Q.850;cause=16"));
    }

    @Test
    public void aReleaseThatIsNeverAcknowledgedIsGivenUpAfterItsLifetime() {
        establish();
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 16, null, NO_REPORT);
        for (int ms = 100; ms <= 9900; ms += 100) {
            harness.advanceToMs(ms);
        }
        assertEquals(contactTable.unacknowledgedReleaseCount(), 1);
        harness.takeSent();
        for (int ms = 10_000; ms <= 12_000; ms += 100) {
            harness.advanceToMs(ms);
        }
        assertEquals(harness.takeSent(), List.of("log unheard"));
        assertEquals(contactTable.unacknowledgedReleaseCount(), 0);
    }

    @Test
    public void aReleaseWaitsForAConnection() {
        establish();
        harness.closedConnections.add(1L);
        harness.otherCallerConnection = 0;
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 16, null, NO_REPORT);
        harness.advanceToMs(3000);
        assertEquals(harness.takeSent(), List.of());
        harness.otherCallerConnection = 6;
        harness.advanceToMs(3500);
        assertEquals(harness.takeSent().get(0), "6: BYE Q.850;cause=16");
    }

    @Test
    public void aByeOfTheCallerReleasesTheSwitch() {
        establish();
        contactTable.byeReceived(9, request("BYE", 1));
        assertEquals(harness.takeSent(), List.of("9: 200 BYE", "FINISH 7 40 1 16"));
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 CALLED_OFF NONE true"));
    }

    @Test
    public void aByeForAnUnknownContactIsAnswered() {
        contactTable.byeReceived(9, request("BYE", 1));
        assertEquals(harness.takeSent(), List.of("9: 481 BYE"));
    }

    /**
     * Guards against set-ups that go on to a full group: in the calm scenario a group filled up without a load report.
     * Each set-up that failed for lack of circuits now reports the group's state.
     */
    @Test
    public void aSetUpThatFoundNoCircuitReportsTheStateOfItsGroup() {
        contactTable.loadReported(SWITCH_ID, new float[] {52, 52, -1});
        offerAndRing();
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 102, "no_circuit", NO_REPORT);
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 NOT_SENT NO_CIRCUIT false [0.0, 52.0]"));
        contactTable.switchRemoved(SWITCH_ID);
        contactTable.notifyController(controller -> contactTable.ring(1, SWITCH_ID, Span.ofMillis(900)));
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 102, "no_circuit", NO_REPORT);
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 1 NOT_SENT NO_CIRCUIT false"));
    }

    @Test
    public void aLostConnectionCutsItsRingsAndNoEstablishedContact() {
        establish();
        contactTable.setUpReceived(setUpRequest(1, 2, 3000));
        contactTable.notifyController(controller -> contactTable.ring(2, SWITCH_ID, Span.ofMillis(2990)));
        harness.takeNotifications();
        contactTable.switchConnectionEnded(SWITCH_ID, SWITCH_CONNECTION_ID, true);
        assertEquals(harness.takeNotifications(), List.of("ring ended 2 0 CUT NONE false"));
        assertEquals(contactTable.establishedCount(), 1);
    }

    @Test
    public void ringsOnAConnectionThatNeverCameUpEndAsUnreachable() {
        offerAndRing();
        contactTable.switchConnectionEnded(SWITCH_ID, SWITCH_CONNECTION_ID, false);
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 UNREACHABLE NONE false"));
    }

    @Test
    public void aMissingConnectionIsReportedAfterTheOrderReturns() {
        harness.isUnreachable = true;
        contactTable.setUpReceived(setUpRequest(1, 1, 3000));
        contactTable.notifyController(controller -> {
            contactTable.ring(1, SWITCH_ID, Span.ofMillis(2990));
            harness.notifications.add("order returned");
        });
        assertEquals(
                harness.takeNotifications().subList(1, 3),
                List.of("order returned", "ring ended 1 0 UNREACHABLE NONE false"));
    }

    @Test
    public void contactsOfAProcessThatEndedAreReleased() {
        establish();
        contactTable.switchProcessEnded(SWITCH_ID);
        assertEquals(harness.takeSent(), List.of("log process-over", "1: BYE Q.850;cause=41", "log switch-over"));
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 CUT NONE true"));
    }

    /** Guards against report 9d16c4: nothing told of calls whose process had gone with all its connections. */
    @Test
    public void aContactIsUnconfirmedOnceNoConnectionOfTheTimeOfItsAnswerIsLeft() {
        establish();
        assertEquals(contactTable.countUnconfirmed(switchId -> SWITCH_CONNECTION_ID), 0);
        harness.takeSent();
        assertEquals(contactTable.countUnconfirmed(switchId -> SWITCH_CONNECTION_ID + 1), 1);
        assertEquals(harness.takeSent(), List.of("log unconfirmed"));
        assertEquals(contactTable.countUnconfirmed(switchId -> Long.MAX_VALUE), 1);
        assertEquals(harness.takeSent(), List.of(), "each is logged once");
    }

    /** Guards against report 9d16c4: it is the connection of the answer that tells at which process a contact stands. */
    @Test
    public void contactsAnsweredOnAConnectionToTheNewProcessRemain() {
        establish();
        contactTable.switchProcessReplaced(SWITCH_ID, SWITCH_ID, SWITCH_CONNECTION_ID);
        assertEquals(contactTable.establishedCount(), 1);
        contactTable.switchProcessReplaced(SWITCH_ID, SWITCH_ID, SWITCH_CONNECTION_ID + 1);
        assertEquals(contactTable.establishedCount(), 0);
    }

    @Test
    public void aContactThatStandsAtTheSuccessorEndsByItsRelease() {
        establish();
        contactTable.switchProcessReplaced(SWITCH_ID, SWITCH_ID + 1, SWITCH_CONNECTION_ID);
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 16, null, NO_REPORT);
        assertEquals(contactTable.establishedCount(), 1, "the earlier process has nothing to say any more");
        contactTable.ended(SWITCH_ID + 1, SWITCH_CONNECTION_ID, tag(1), 16, null, NO_REPORT);
        assertEquals(contactTable.establishedCount(), 0);
    }

    /** Guards against report 9d16c4: the successor's release came under the old id, its contact is named under the new one. */
    @Test
    public void aReleaseOfTheSuccessorUnderTheOldIdEndsAContactNamedUnderTheNewOne() {
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(4), 16, null, NO_REPORT);
        contactTable.switchProcessReplaced(SWITCH_ID, SWITCH_ID + 1, SWITCH_CONNECTION_ID);
        contactTable.establishedContactReported(namingRequest(3, 4), SWITCH_ID + 1);
        assertEquals(harness.takeSent().contains("3: BYE Q.850;cause=16"), true);
        assertEquals(contactTable.establishedCount(), 0);
    }

    /** Its caller has named the contact at the earlier process; no connection brought its answer. */
    @Test
    public void aNamedContactEndsWithTheProcessThatIsReplaced() {
        contactTable.establishedContactReported(namingRequest(3, 4), SWITCH_ID);
        contactTable.switchProcessReplaced(SWITCH_ID, SWITCH_ID, 0);
        assertEquals(contactTable.establishedCount(), 0);
    }

    /** Guards against report 9d16c4, picture (c): namings under ever new ids took memory without end. */
    @Test
    public void namedContactsAreBoundedAndAGenuineOneIsStillReleased() {
        contactTable.establishedContactReported(namingRequest(3, 1), SWITCH_ID);
        for (int i = 2; i < 20_000; i++) {
            contactTable.establishedContactReported(namingRequest(4, i), SWITCH_ID);
        }
        assertEquals(contactTable.establishedCount(), NamedContacts.MAX_COUNT);
        assertEquals(contactTable.knownTags().size(), NamedContacts.MAX_COUNT);
        harness.takeSent();
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 16, null, NO_REPORT);
        assertEquals(harness.takeSent(), List.of("3: BYE Q.850;cause=16"));
    }

    private SetUpRequest largeSetUpRequest(int contactNumber) {
        SetUpRequest request = setUpRequest(1, contactNumber, 3000);
        request.invite().body("application/sdp", new byte[16_000]);
        return request;
    }

    /** Guards against report 9d16c4, picture (b): open set-ups of nearly 16 KB took all memory. */
    @Test
    public void largeSetUpsAreRefusedWhileOpenOnesTakeHalfOfTheMemory() {
        harness = new ContactTableHarness(ContactTableHarness.settings(20_000));
        contactTable = harness.contactTable;
        int accepted = 0;
        while (harness.takeSent().isEmpty()) {
            contactTable.setUpReceived(largeSetUpRequest(++accepted));
        }
        assertEquals(contactTable.openCount(), accepted - 1);
        assertTrue(contactTable.openBytes() <= 4 << 20, "bytes: " + contactTable.openBytes());
        contactTable.setUpReceived(largeSetUpRequest(9001));
        assertEquals(harness.takeSent(), List.of("1: 503 INVITE retry after 500"));
        contactTable.setUpReceived(setUpRequest(2, 9002, 3000));
        assertEquals(harness.takeSent(), List.of(), "a usual one finds room");
        contactTable.abandon(1);
        harness.takeSent();
        contactTable.setUpReceived(largeSetUpRequest(9003));
        assertEquals(harness.takeSent(), List.of());
        contactTable.callerConnectionEnded(1);
        contactTable.callerConnectionEnded(2);
        assertEquals(contactTable.openBytes(), 0);
    }

    /** Guards against report 9d16c4, picture (d): a switch that ran an id for a caller who left got it a second time. */
    @Test
    public void anIdThatWasForwardedIsNotStartedAgainAfterItsCallerLeft() {
        offerAndRing();
        contactTable.callerConnectionEnded(1);
        contactTable.notifyController(controller -> contactTable.cancel(1, 0));
        harness.takeSent();
        harness.takeNotifications();
        harness.advanceToMs(250);
        contactTable.setUpReceived(setUpRequest(2, 1, 3000));
        assertEquals(harness.takeSent(), List.of("2: 482 INVITE"));
        assertEquals(harness.takeNotifications(), List.of());
    }

    @Test
    public void anIdThatStoodIsNotStartedAgain() {
        establish();
        contactTable.byeReceived(1, request("BYE", 1));
        harness.takeSent();
        contactTable.setUpReceived(setUpRequest(2, 1, 3000));
        assertEquals(harness.takeSent(), List.of("2: 482 INVITE"));
    }

    /** The twin: a set-up that crossed the end of its connection and was never forwarded runs when it is sent again. */
    @Test
    public void anIdWhoseStartWasNeverWrittenIsOfferedAgain() {
        harness.holdsStarts = true;
        offerAndRing();
        contactTable.callerConnectionEnded(1);
        contactTable.notifyController(controller -> contactTable.cancel(1, 0));
        harness.takeNotifications();
        contactTable.setUpReceived(setUpRequest(2, 1, 3000));
        assertEquals(harness.takeNotifications(), List.of("offered 2 1 destination 2 patience 3000"));
    }

    /** Guards against report 038161: the end arrives before the contact is known. */
    @Test
    public void aReleaseThatPrecedesTheNamingIsPassedOnAtTheNaming() {
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(4), 16, null, NO_REPORT);
        harness.advanceToMs(3000);
        harness.takeSent();
        contactTable.establishedContactReported(namingRequest(3, 4), SWITCH_ID);
        assertEquals(harness.takeSent(), List.of("log named", "3: BYE Q.850;cause=16"));
        assertEquals(contactTable.establishedCount(), 0);
    }

    /** The caller may have missed the release, or sent the naming before it arrived. */
    @Test
    public void aContactThatIsNamedAfterItsEndIsReleasedAgain() {
        establish();
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 16, null, NO_REPORT);
        contactTable.releaseAnswered(1, tag(1), true);
        harness.takeSent();
        contactTable.establishedContactReported(namingRequest(3, 1), SWITCH_ID);
        assertEquals(harness.takeSent(), List.of("log named", "3: BYE Q.850;cause=16"));
        assertEquals(contactTable.establishedCount(), 0);
    }

    /** A release of another switch says nothing of the contact where the caller names it. */
    @Test
    public void aReleaseOfAnotherSwitchEndsNoContactThatIsNamedLater() {
        contactTable.ended(8, SWITCH_CONNECTION_ID, tag(4), 34, "no_circuit", NO_REPORT);
        contactTable.establishedContactReported(namingRequest(3, 4), SWITCH_ID);
        assertEquals(contactTable.establishedCount(), 1);
    }

    @Test
    public void aByeThatPrecedesTheNamingIsPassedOnAtTheNaming() {
        contactTable.byeReceived(9, request("BYE", 4));
        harness.advanceToMs(3000);
        harness.takeSent();
        contactTable.establishedContactReported(namingRequest(3, 4), SWITCH_ID);
        assertEquals(harness.takeSent(), List.of("log named", "FINISH 7 0 4 16"));
        assertEquals(contactTable.establishedCount(), 0);
    }

    /** A BYE answered here crosses the naming of the same contact on another connection. */
    @Test
    public void aContactNamedAfterItsByeWasAnsweredIsNotTakenOverAgain() {
        contactTable.establishedContactReported(namingRequest(3, 4), SWITCH_ID);
        contactTable.byeReceived(9, request("BYE", 4));
        harness.takeSent();
        contactTable.establishedContactReported(namingRequest(3, 4), SWITCH_ID);
        assertEquals(contactTable.establishedCount(), 0);
    }

    /** The connection's set-ups have been given up, and the next attempt is under way at the same switch. */
    @Test
    public void aRefusalOnAnEndedConnectionDoesNotEndALaterAttempt() {
        offerAndRing();
        contactTable.switchConnectionEnded(SWITCH_ID, SWITCH_CONNECTION_ID, true);
        contactTable.notifyController(controller -> contactTable.ring(1, SWITCH_ID, Span.ofMillis(2000)));
        harness.takeNotifications();
        contactTable.releasedOnEndedConnection(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 34);
        assertEquals(harness.takeNotifications(), List.of());
    }

    @Test
    public void aReleaseOnAnEndedConnectionReachesTheCaller() {
        establish();
        contactTable.switchConnectionEnded(SWITCH_ID, SWITCH_CONNECTION_ID, true);
        contactTable.releasedOnEndedConnection(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 16);
        assertEquals(harness.takeSent(), List.of("1: BYE Q.850;cause=16"));
    }

    /** What is acknowledged is not sent to the process that follows a killed one. */
    @Test
    public void aReleaseIsAcknowledgedToTheSwitchOnceTheCallerHasHeardOfIt() {
        establish();
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 16, null, NO_REPORT);
        contactTable.ended(SWITCH_ID, 41, tag(1), 16, null, NO_REPORT);
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(4), 16, null, NO_REPORT);
        contactTable.establishedContactReported(namingRequest(3, 4), SWITCH_ID);
        assertEquals(harness.finishedTags, List.of());
        contactTable.releaseAnswered(1, tag(1), true);
        contactTable.releaseAnswered(1, tag(4), true);
        assertEquals(harness.finishedTags, List.of(1L, 4L));
        contactTable.ended(SWITCH_ID, 42, tag(1), 16, null, NO_REPORT);
        assertEquals(harness.finishedTags, List.of(1L, 4L, 1L));
    }

    /** A cut of 6 s: the release was sent often into a connection that is then reset, and the caller comes again. */
    @Test
    public void aReleaseThatNobodyAcknowledgedIsSentOnALaterConnection() {
        establish();
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 16, null, NO_REPORT);
        for (int ms = 100; ms <= 6000; ms += 100) {
            harness.advanceToMs(ms);
        }
        harness.closedConnections.add(1L);
        harness.otherCallerConnection = 0;
        contactTable.callerConnectionEnded(1);
        harness.takeSent();
        harness.otherCallerConnection = 6;
        harness.advanceToMs(7000);
        assertTrue(harness.takeSent().contains("6: BYE Q.850;cause=16"));
    }

    @Test
    public void anInheritedContactIsReleasedWithoutNotifyingTheModule() {
        SetUpRequest request = namingRequest(3, 4);
        contactTable.establishedContactReported(request, SWITCH_ID);
        contactTable.establishedContactReported(request, SWITCH_ID);
        assertEquals(contactTable.establishedCount(), 1);
        assertEquals(harness.takeSent(), List.of("log named"));
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(4), 16, null, NO_REPORT);
        assertEquals(harness.takeSent(), List.of("3: BYE Q.850;cause=16"));
        assertEquals(harness.takeNotifications(), List.of());
    }

    @Test
    public void aContactAtAnUnknownSwitchIsReleased() {
        contactTable.establishedContactReportedAtUnknownSwitch(setUpRequest(3, 4, 0));
        assertEquals(harness.takeSent(), List.of("3: BYE Q.850;cause=41"));
    }

    @Test
    public void anUnacknowledgedAnswerIsReleasedOnBothSidesWhenItsConnectionEnds() {
        offerAndRing();
        contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), "c=x\r\n");
        harness.takeSent();
        harness.takeNotifications();
        harness.closedConnections.add(1L);
        harness.otherCallerConnection = 2;
        contactTable.callerConnectionEnded(1);
        assertEquals(harness.takeSent(), List.of("log unsure", "FINISH 7 40 1 16", "2: BYE Q.850;cause=41"));
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 CALLED_OFF NONE true"));
    }

    @Test
    public void anAcknowledgedContactOutlivesItsConnection() {
        establish();
        contactTable.callerConnectionEnded(1);
        assertEquals(contactTable.establishedCount(), 1);
        assertEquals(harness.takeSent(), List.of());
    }

    @Test
    public void duringShutdownNewContactsAreRefusedAndOpenOnesAnswered() {
        offerAndRing();
        contactTable.refuseNewContacts();
        contactTable.setUpReceived(setUpRequest(1, 2, 3000));
        contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), "c=x\r\n");
        assertEquals(harness.takeSent(), List.of("1: 503 INVITE", "1: 200 INVITE c=x\r\n"));
    }

    @Test
    public void anExceptionOfTheModuleStopsNothing() {
        contactTable.notifyController(controller -> {
            throw new IllegalStateException("injected");
        });
        contactTable.setUpReceived(setUpRequest(1, 1, 3000));
        assertEquals(harness.takeSent(), List.of("log fault"));
        assertEquals(harness.takeNotifications().size(), 1);
    }

    @Test
    public void nothingIsKeptOfEndedContacts() {
        for (int i = 1; i < 200; i++) {
            contactTable.setUpReceived(setUpRequest(1, i, 3000));
            int id = i;
            contactTable.notifyController(controller -> contactTable.ring(id, SWITCH_ID, Span.ofMillis(2990)));
            contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(i), "c=x\r\n");
            contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(i), 16, null, NO_REPORT);
            contactTable.releaseAnswered(1, tag(i), true);
        }
        assertEquals(contactTable.knownTags(), List.of());
        assertEquals(
                contactTable.establishedCount() + contactTable.openCount() + contactTable.unacknowledgedReleaseCount(),
                0);
    }

    /** Guards against calls that keep their circuits though their caller never acknowledges the answer (review/6). */
    @Test
    public void aContactWithoutAckIsReleasedBothWaysOnItsOwnConnection() {
        offerAndRing();
        contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), "c=x\r\n");
        harness.takeSent();
        harness.takeNotifications();
        harness.advanceToMs(4100);
        harness.advanceToMs(4900);
        assertEquals(harness.takeSent(), List.of());
        harness.otherCallerConnection = 2;
        harness.advanceToMs(5300);
        assertEquals(harness.takeSent(), List.of("log no-ack", "FINISH 7 40 1 16", "1: BYE Q.850;cause=41"));
        assertEquals(harness.takeNotifications(), List.of("ring ended 1 0 CALLED_OFF NONE true"));
        harness.advanceToMs(5500);
        assertEquals(harness.takeSent(), List.of("1: BYE Q.850;cause=41"));
        harness.closedConnections.add(1L);
        harness.advanceToMs(5700);
        assertEquals(harness.takeSent(), List.of("2: BYE Q.850;cause=41"));
    }

    @Test
    public void anAcknowledgedContactStaysStanding() {
        establish();
        harness.advanceToMs(60_000);
        assertEquals(harness.takeSent(), List.of());
        assertEquals(contactTable.establishedCount(), 1);
    }

    /** After a stall the timer is handled before the ACK that waits in the inbox. */
    @Test
    public void anAckThatWaitedBehindAStallCounts() {
        offerAndRing();
        contactTable.started(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), "c=x\r\n");
        harness.takeSent();
        harness.advanceToMs(20_000);
        contactTable.ackReceived(tag(1));
        harness.advanceToMs(30_000);
        assertEquals(harness.takeSent(), List.of());
        assertEquals(contactTable.establishedCount(), 1);
    }

    private void nameOnManyConnections(int connections, int namingsEach, long switchId) {
        int number = 1000;
        for (int naming = 0; naming < namingsEach; naming++) {
            for (int connection = 0; connection < connections; connection++) {
                contactTable.establishedContactReported(namingRequest(100 + connection, number++), switchId);
            }
        }
    }

    /** Guards against review/9: bad clients' namings of unknown ids displaced a usual client's, at the same switch too. */
    @Test
    public void namingsOnManyConnectionsDoNotKeepAUsualClientFromItsReleases() {
        for (int i = 1; i <= 60; i++) {
            contactTable.establishedContactReported(namingRequest(3, i), SWITCH_ID);
        }
        nameOnManyConnections(240, 40, SWITCH_ID);
        harness.takeSent();
        for (int i = 1; i <= 60; i++) {
            contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(i), 16, null, NO_REPORT);
            assertEquals(harness.takeSent(), List.of("3: BYE Q.850;cause=16"), "call " + i);
        }
    }

    /** Beyond what is kept, the release of a contact that gave way is sent to all callers until one knows it. */
    @Test
    public void theCallerOfANamedContactThatGaveWayIsSearched() {
        contactTable.establishedContactReported(namingRequest(3, 1), SWITCH_ID);
        for (int i = 2; i <= NamedContacts.MAX_COUNT + 1; i++) {
            contactTable.establishedContactReported(namingRequest(3, i), SWITCH_ID);
        }
        harness.takeSent();
        harness.otherCallerConnection = 0;
        harness.furtherCallerConnections.addAll(List.of(4L, 3L));
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 16, null, NO_REPORT);
        assertEquals(
                harness.takeSent(), List.of("log early-release", "4: BYE Q.850;cause=16", "3: BYE Q.850;cause=16"));
        contactTable.releaseAnswered(4, tag(1), false);
        assertEquals(harness.finishedTags, List.of());
        contactTable.releaseAnswered(3, tag(1), true);
        assertEquals(harness.finishedTags, List.of(1L));
        assertEquals(contactTable.unacknowledgedReleaseCount(), 0);
        assertEquals(contactTable.unclaimedEndCount(), 0);
    }

    /** Guards against another client's 481 that ends the release of a call (second review, part one). */
    @Test
    public void onlyTheConnectionOfTheSetUpMaySayThatItDoesNotKnowTheContact() {
        establish();
        harness.otherCallerConnection = 2;
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 16, null, NO_REPORT);
        assertEquals(harness.takeSent(), List.of("1: BYE Q.850;cause=16"));
        contactTable.releaseAnswered(2, tag(1), false);
        assertEquals(contactTable.unacknowledgedReleaseCount(), 1);
        contactTable.releaseAnswered(1, tag(1), false);
        assertEquals(contactTable.unacknowledgedReleaseCount(), 0);
    }

    /** Guards against namings at unknown switches that displace the releases of contacts that stood (review/9). */
    @Test
    public void releasesThatOnlyACallerSpeaksOfDisplaceNoOthers() {
        establish();
        harness.closedConnections.add(1L);
        harness.otherCallerConnection = 0;
        contactTable.ended(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1), 16, null, NO_REPORT);
        for (int i = 2; i < 10_000; i++) {
            contactTable.establishedContactReportedAtUnknownSwitch(namingRequest(4, i));
        }
        harness.takeSent();
        harness.otherCallerConnection = 2;
        harness.advanceToMs(200);
        assertTrue(harness.takeSent().contains("2: BYE Q.850;cause=16"));
        assertTrue(contactTable.unacknowledgedReleaseCount() <= 1025);
    }

    /** A call that a switch answered while its set-up was given up with the connection must not stand there unknown. */
    @Test
    public void anAnswerAfterTheEndOfItsConnectionIsReleasedAtTheSwitch() {
        offerAndRing();
        contactTable.switchConnectionEnded(SWITCH_ID, SWITCH_CONNECTION_ID, true);
        harness.takeSent();
        contactTable.answeredOnEndedConnection(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1));
        assertEquals(harness.takeSent(), List.of("FINISH 7 40 1 16"));
    }

    /** The same contact set up there again keeps its new attempt. */
    @Test
    public void anAnswerAfterTheEndOfItsConnectionDoesNotEndTheNextAttempt() {
        offerAndRing();
        contactTable.switchConnectionEnded(SWITCH_ID, SWITCH_CONNECTION_ID, true);
        contactTable.notifyController(controller -> contactTable.ring(1, SWITCH_ID, Span.ofMillis(2000)));
        harness.takeSent();
        contactTable.answeredOnEndedConnection(SWITCH_ID, SWITCH_CONNECTION_ID, tag(1));
        assertEquals(harness.takeSent(), List.of());
    }
}
