package martenslip.platform.contact;

import static martenslip.platform.contact.ContactTableHarness.LINK;
import static martenslip.platform.contact.ContactTableHarness.SWITCH;
import static martenslip.platform.contact.ContactTableHarness.ask;
import static martenslip.platform.contact.ContactTableHarness.request;
import static martenslip.platform.contact.ContactTableHarness.tag;
import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.List;
import martenslip.control.Moment;
import martenslip.control.Span;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

public class ContactTableTest {
    private static final float[] NONE = {};
    private ContactTableHarness tiny;
    private ContactTable desk;

    @BeforeMethod
    public void begin() {
        tiny = new ContactTableHarness();
        desk = tiny.desk;
    }

    /** A contact of line 1 that is offered and rung. */
    private void rung() {
        desk.setUpReceived(ask(1, 1, 3000));
        desk.notifyController(to -> desk.ring(1, SWITCH, Span.ofMillis(2990)));
        tiny.told();
        tiny.sent();
    }

    private void stood() {
        rung();
        desk.started(SWITCH, LINK, tag(1), "c=x\r\n");
        desk.ackReceived(tag(1));
        tiny.told();
        tiny.sent();
    }

    @Test
    public void theAnswerOfTheSwitchIsTheCallers() {
        rung();
        desk.started(SWITCH, LINK, tag(1), "c=x\r\n");
        assertEquals(tiny.sent(), List.of("1: 200 INVITE c=x\r\n"));
        assertEquals(tiny.told(), List.of("stands 1 0 7"));
    }

    @Test
    public void aSecondAnswerIsNotPassedOn() {
        stood();
        desk.started(SWITCH, LINK, tag(1), "c=y\r\n");
        assertEquals(tiny.sent(), List.of());
    }

    @Test
    public void anAnswerWithoutDescriptionIsNoGoodAnswer() {
        rung();
        desk.started(SWITCH, LINK, tag(1), null);
        assertEquals(tiny.sent(), List.of("FINISH 7 40 1 16"));
        assertEquals(tiny.told(), List.of("end 1 0 CUT NONE false"));
    }

    @Test
    public void anAnswerOfAnotherSwitchOrForNobodyIsIgnored() {
        rung();
        desk.started(8, LINK, tag(1), "c=x\r\n");
        desk.started(SWITCH, LINK, tag(2), "c=x\r\n");
        assertEquals(tiny.sent(), List.of());
        assertEquals(tiny.told(), List.of());
    }

    @Test
    public void patienceCountsFromWhenTheLastByteWasRead() {
        tiny.at(400);
        desk.setUpReceived(ask(1, 1, 3000));
        assertEquals(tiny.told(), List.of("offered 1 1 to 2 patience 2600"));
    }

    @Test
    public void deferredSaysWhenToComeBack() {
        desk.setUpReceived(ask(1, 1, 3000));
        desk.notifyController(to -> desk.defer(1, Span.ofMillis(700)));
        assertEquals(tiny.sent(), List.of("1: 503 INVITE away 700"));
        assertEquals(desk.openCount(), 0);
        assertEquals(desk.known(), List.of());
    }

    @Test
    public void abandonedIsAnotherRefusal() {
        desk.setUpReceived(ask(1, 1, 3000));
        desk.notifyController(to -> desk.abandon(1));
        assertEquals(tiny.sent(), List.of("1: 500 INVITE"));
    }

    @Test
    public void noSecondAnswerFollowsTheFirst() {
        desk.setUpReceived(ask(1, 1, 3000));
        desk.notifyController(to -> desk.defer(1, Span.ZERO));
        desk.notifyController(to -> desk.abandon(1));
        tiny.at(10_000);
        assertEquals(tiny.sent(), List.of("1: 503 INVITE"));
    }

    @Test
    public void theLastWordWaitsForTheModulesOwn() {
        desk.setUpReceived(ask(1, 1, 3000));
        tiny.at(3000);
        assertEquals(tiny.sent(), List.of());
        tiny.at(3020);
        assertEquals(tiny.sent(), List.of("log last-word", "1: 500 INVITE"));
        assertTrue(tiny.told().contains("gone 1"));
    }

    @Test
    public void theRingTimesOutAndIsGivenUp() {
        rung();
        tiny.at(2991);
        assertEquals(tiny.sent(), List.of("FINISH 7 40 1 16"));
        assertEquals(tiny.told(), List.of("end 1 0 TIMED_OUT NONE false"));
    }

    @Test
    public void aCallerWhoGivesUpIsToldSoAndNothingAfter() {
        rung();
        desk.cancelReceived(1, request("CANCEL", 1));
        assertEquals(tiny.sent(), List.of("1: 200 CANCEL", "1: 487 INVITE"));
        assertEquals(tiny.told(), List.of("gone 1"));
        desk.notifyController(to -> desk.cancel(1, 0));
        assertEquals(tiny.sent(), List.of("FINISH 7 40 1 16"));
        assertEquals(tiny.told(), List.of("end 1 0 CALLED_OFF NONE true"));
        assertEquals(desk.known(), List.of());
    }

    @Test
    public void aRingThatStandsAfterItsCallerLeftIsReleased() {
        rung();
        desk.callerConnectionEnded(1);
        tiny.told();
        desk.started(SWITCH, LINK, tag(1), "c=x\r\n");
        assertEquals(tiny.sent(), List.of("FINISH 7 40 1 16"));
        assertEquals(tiny.told(), List.of("end 1 0 CALLED_OFF NONE true"));
    }

    /** Suspect of the fleet's trial: START was written once the connection came up, its caller long gone. */
    @Test
    public void anAttemptNotYetWrittenIsTakenBackWithItsCaller() {
        tiny.held = true;
        rung();
        desk.cancelReceived(1, request("CANCEL", 1));
        desk.notifyController(to -> desk.cancel(1, 0));
        assertEquals(tiny.sent(), List.of("1: 200 CANCEL", "1: 487 INVITE"));
        assertEquals(tiny.told(), List.of("gone 1", "end 1 0 NOT_SENT NONE true"));
        tiny.write();
        assertEquals(tiny.sent(), List.of(), "neither START nor FINISH");
        assertEquals(desk.known(), List.of());
    }

    @Test
    public void anAttemptThatTimesOutUnwrittenWasNeverSent() {
        tiny.held = true;
        rung();
        tiny.at(2991);
        tiny.write();
        assertEquals(tiny.sent(), List.of());
        assertEquals(tiny.told(), List.of("end 1 0 NOT_SENT NONE false"));
    }

    @Test
    public void aConnectionThatEndsWithTheAttemptUnwrittenCutsNothing() {
        tiny.held = true;
        rung();
        desk.switchConnectionEnded(SWITCH, LINK, true);
        assertEquals(tiny.told(), List.of("end 1 0 NOT_SENT NONE false"));
        assertEquals(tiny.sent(), List.of());
    }

    @Test
    public void anAnswerToAnAttemptThatWasNeverWrittenIsNone() {
        tiny.held = true;
        rung();
        desk.started(SWITCH, LINK, tag(1), "c=x\r\n");
        desk.ended(SWITCH, LINK, tag(1), 17, null, NONE);
        assertEquals(tiny.sent(), List.of());
        assertEquals(tiny.told(), List.of());
    }

    /** The reader has seen the caller's end, and the news of it waits behind what comes first here. */
    @Test
    public void nothingGoesOutForACallerWhoseEndStillWaitsInTheInbox() {
        desk.setUpReceived(tiny.asked(1, 1, 3000));
        tiny.caller.cancel();
        tiny.told();
        desk.notifyController(to -> desk.ring(1, SWITCH, Span.ofMillis(2990)));
        assertEquals(tiny.sent(), List.of("1: 487 INVITE"));
        assertEquals(tiny.told(), List.of("gone 1"));
        desk.notifyController(to -> desk.cancel(1, 0));
        assertEquals(tiny.sent(), List.of());
        desk.callerConnectionEnded(1);
        assertEquals(desk.known(), List.of());
    }

    @Test
    public void anAnswerForACallerWhoseEndStillWaitsIsReleasedAndNotPassedOn() {
        rung();
        tiny.caller.cancel();
        desk.started(SWITCH, LINK, tag(1), "c=x\r\n");
        assertEquals(tiny.sent(), List.of("1: 487 INVITE", "FINISH 7 40 1 16"));
        assertEquals(tiny.told(), List.of("gone 1", "end 1 0 CALLED_OFF NONE true"));
        desk.callerConnectionEnded(1);
        assertEquals(desk.known(), List.of());
    }

    @Test
    public void aSetUpWhoseCallerHasGoneIsNotOffered() {
        SetUpRequest asked = ask(1, 1, 3000);
        asked.cancellation().cancel();
        desk.setUpReceived(asked);
        assertEquals(tiny.told(), List.of());
        assertEquals(tiny.sent(), List.of("1: 487 INVITE"));
        assertEquals(desk.known(), List.of());
    }

    @Test
    public void aReasonThatFellAwayAsItsTurnCameIsNews() {
        tiny.held = true;
        rung();
        tiny.caller.cancel();
        tiny.write();
        assertEquals(tiny.sent(), List.of());
        assertEquals(tiny.told(), List.of("end 1 0 NOT_SENT NONE false"));
    }

    /** Rule 5: the release counts from the end that was written, not from the one that was ordered. */
    @Test
    public void anEndThatIsHeldUpIsToldOnceItIsWritten() {
        rung();
        tiny.heldEnds = true;
        desk.started(SWITCH, LINK, tag(1), null);
        assertEquals(tiny.sent(), List.of("FINISH 7 40 1 16"));
        assertEquals(tiny.told(), List.of());
        desk.ended(SWITCH, LINK, tag(1), 34, "no_circuit", NONE);
        assertEquals(tiny.told(), List.of(), "it crossed the end that is on its way");
        tiny.written();
        assertEquals(tiny.told(), List.of("end 1 0 CUT NONE false"));
    }

    /** On the long day one of 18,000 was told too late: its release waited 0.4 s for each try after a line that ended. */
    @Test
    public void aReleaseOnALineThatEndsIsSaidOnAnotherAtOnce() {
        stood();
        desk.ended(SWITCH, LINK, tag(1), 16, null, NONE);
        assertEquals(tiny.sent(), List.of("1: BYE Q.850;cause=16"));
        tiny.closed.add(1L);
        tiny.any = 2;
        desk.callerConnectionEnded(1);
        assertEquals(tiny.sent(), List.of("2: BYE Q.850;cause=16"));
        tiny.any = 3;
        desk.callerConnectionEnded(2);
        assertEquals(tiny.sent(), List.of("3: BYE Q.850;cause=16"));
        desk.releaseAcknowledged(tag(1));
        desk.callerConnectionEnded(3);
        assertEquals(tiny.sent(), List.of());
    }

    @Test
    public void anotherLineCantWithdrawAContact() {
        rung();
        desk.cancelReceived(2, request("CANCEL", 1));
        assertEquals(tiny.sent(), List.of("2: 481 CANCEL"));
        assertEquals(tiny.told(), List.of());
    }

    @Test
    public void twoSetUpsUnderOneIdOnALineEndTheLine() {
        rung();
        desk.setUpReceived(ask(1, 1, 3000));
        assertEquals(tiny.sent(), List.of("1: dropped"));
        assertEquals(tiny.told(), List.of("gone 1"));
    }

    @Test
    public void theIdOfAnOpenContactOnAnotherLineIsRefused() {
        rung();
        desk.setUpReceived(ask(2, 1, 3000));
        assertEquals(tiny.sent(), List.of("2: 482 INVITE"));
        assertEquals(tiny.told(), List.of());
    }

    @Test
    public void moreThanMayBeOpenIsRefusedUnseen() {
        for (int i = 1; i <= 4; i++) {
            desk.setUpReceived(ask(1, i, 3000));
        }
        assertEquals(tiny.sent(), List.of("1: 503 INVITE"));
        assertEquals(desk.openCount(), 3);
    }

    @Test
    public void theSwitchesReleaseIsTheCallersByeFromAnyLine() {
        stood();
        tiny.closed.add(1L);
        tiny.any = 5;
        desk.ended(SWITCH, 41, tag(1), 16, null, new float[] {3, 9});
        assertEquals(tiny.sent(), List.of("5: BYE Q.850;cause=16"));
        assertEquals(tiny.told(), List.of("end 1 0 CONCLUDED NONE true [3.0, 9.0]"));
    }

    @Test
    public void aReleaseIsSaidAgainUntilItIsHeard() {
        stood();
        desk.ended(SWITCH, LINK, tag(1), 41, null, NONE);
        tiny.at(401);
        assertEquals(tiny.sent(), List.of("1: BYE Q.850;cause=41", "1: BYE Q.850;cause=41"));
        desk.releaseAcknowledged(tag(1));
        tiny.at(5000);
        assertEquals(tiny.sent(), List.of());
        assertEquals(desk.unacknowledgedReleaseCount(), 0);
    }

    @Test
    public void aReleaseWaitsForALine() {
        stood();
        tiny.closed.add(1L);
        tiny.any = 0;
        desk.ended(SWITCH, LINK, tag(1), 16, null, NONE);
        tiny.at(3000);
        assertEquals(tiny.sent(), List.of());
        tiny.any = 6;
        tiny.at(3500);
        assertEquals(tiny.sent().get(0), "6: BYE Q.850;cause=16");
    }

    @Test
    public void aCallersByeReleasesTheSwitch() {
        stood();
        desk.byeReceived(9, request("BYE", 1));
        assertEquals(tiny.sent(), List.of("9: 200 BYE", "FINISH 7 40 1 16"));
        assertEquals(tiny.told(), List.of("end 1 0 CALLED_OFF NONE true"));
    }

    @Test
    public void aByeForNobodyIsAnswered() {
        desk.byeReceived(9, request("BYE", 1));
        assertEquals(tiny.sent(), List.of("9: 481 BYE"));
    }

    /** On the calm day a group was filled and not told, and set-ups went on to it: each moot one now tells it. */
    @Test
    public void aSetUpThatFoundNoCircuitTellsTheStateOfItsGroup() {
        desk.loadReported(SWITCH, new float[] {52, 52, -1});
        rung();
        desk.ended(SWITCH, LINK, tag(1), 102, "no_circuit", NONE);
        assertEquals(tiny.told(), List.of("end 1 0 NOT_SENT NO_CIRCUIT false [0.0, 52.0]"));
        desk.switchRemoved(SWITCH);
        desk.notifyController(to -> desk.ring(1, SWITCH, Span.ofMillis(900)));
        desk.ended(SWITCH, LINK, tag(1), 102, "no_circuit", NONE);
        assertEquals(tiny.told(), List.of("end 1 1 NOT_SENT NO_CIRCUIT false"));
    }

    @Test
    public void aLostConnectionCutsItsRingsAndNothingThatStands() {
        stood();
        desk.setUpReceived(ask(1, 2, 3000));
        desk.notifyController(to -> desk.ring(2, SWITCH, Span.ofMillis(2990)));
        tiny.told();
        desk.switchConnectionEnded(SWITCH, LINK, true);
        assertEquals(tiny.told(), List.of("end 2 0 CUT NONE false"));
        assertEquals(desk.establishedCount(), 1);
    }

    @Test
    public void aConnectionThatNeverCameUpProvesThatNothingRan() {
        rung();
        desk.switchConnectionEnded(SWITCH, LINK, false);
        assertEquals(tiny.told(), List.of("end 1 0 UNREACHABLE NONE false"));
    }

    @Test
    public void noConnectionAtAllIsToldAfterTheOrder() {
        tiny.unreachable = true;
        desk.setUpReceived(ask(1, 1, 3000));
        desk.notifyController(to -> {
            desk.ring(1, SWITCH, Span.ofMillis(2990));
            tiny.told.add("order given");
        });
        assertEquals(tiny.told().subList(1, 3), List.of("order given", "end 1 0 UNREACHABLE NONE false"));
    }

    @Test
    public void whatStoodOnAProcessThatEndedIsReleased() {
        stood();
        desk.switchProcessEnded(SWITCH, null);
        assertEquals(tiny.sent(), List.of("1: BYE Q.850;cause=41", "log switch-over"));
        assertEquals(tiny.told(), List.of("end 1 0 CUT NONE true"));
    }

    @Test
    public void whatStandsSinceTheRestartStays() {
        tiny.at(1000);
        stood();
        desk.switchProcessEnded(SWITCH, new Moment(Span.ofMillis(500).ns()));
        assertEquals(desk.establishedCount(), 1);
    }

    @Test
    public void anInheritedContactIsReleasedLikeOthersAndNoNewsOfTheModule() {
        SetUpRequest asked = new SetUpRequest(
                3,
                request("INVITE", 4),
                tag(4),
                "00000000000000aa",
                0,
                new Moment(0),
                Span.ZERO,
                0,
                -1,
                1,
                false,
                false,
                "s-1",
                "",
                new CallerCancellation());
        desk.establishedElsewhere(asked, SWITCH);
        desk.establishedElsewhere(asked, SWITCH);
        assertEquals(desk.establishedCount(), 1);
        assertEquals(tiny.sent(), List.of());
        desk.ended(SWITCH, LINK, tag(4), 16, null, NONE);
        assertEquals(tiny.sent(), List.of("3: BYE Q.850;cause=16"));
        assertEquals(tiny.told(), List.of());
    }

    @Test
    public void oneThatStoodNowhereIsOver() {
        desk.establishedAtUnknownSwitch(ask(3, 4, 0));
        assertEquals(tiny.sent(), List.of("3: BYE Q.850;cause=41"));
    }

    @Test
    public void aGoodAnswerThatItsLineTookAlongIsReleasedBothWays() {
        rung();
        desk.started(SWITCH, LINK, tag(1), "c=x\r\n");
        tiny.sent();
        tiny.told();
        tiny.closed.add(1L);
        tiny.any = 2;
        desk.callerConnectionEnded(1);
        assertEquals(tiny.sent(), List.of("log unsure", "FINISH 7 40 1 16", "2: BYE Q.850;cause=41"));
        assertEquals(tiny.told(), List.of("end 1 0 CALLED_OFF NONE true"));
    }

    @Test
    public void oneThatWasAcknowledgedBelongsToNoLine() {
        stood();
        desk.callerConnectionEnded(1);
        assertEquals(desk.establishedCount(), 1);
        assertEquals(tiny.sent(), List.of());
    }

    @Test
    public void whileClosingNewContactsAreRefusedAndOpenOnesAnswered() {
        rung();
        desk.refuseNewContacts();
        desk.setUpReceived(ask(1, 2, 3000));
        desk.started(SWITCH, LINK, tag(1), "c=x\r\n");
        assertEquals(tiny.sent(), List.of("1: 503 INVITE", "1: 200 INVITE c=x\r\n"));
    }

    @Test
    public void aFaultOfTheModuleEndsNothing() {
        desk.notifyController(to -> {
            throw new IllegalStateException("planted");
        });
        desk.setUpReceived(ask(1, 1, 3000));
        assertEquals(tiny.sent(), List.of("log fault"));
        assertEquals(tiny.told().size(), 1);
    }

    @Test
    public void nothingIsKeptOfContactsThatAreOver() {
        for (int i = 1; i < 200; i++) {
            desk.setUpReceived(ask(1, i, 3000));
            int id = i;
            desk.notifyController(to -> desk.ring(id, SWITCH, Span.ofMillis(2990)));
            desk.started(SWITCH, LINK, tag(i), "c=x\r\n");
            desk.ended(SWITCH, LINK, tag(i), 16, null, NONE);
            desk.releaseAcknowledged(tag(i));
        }
        assertEquals(desk.known(), List.of());
        assertEquals(desk.establishedCount() + desk.openCount() + desk.unacknowledgedReleaseCount(), 0);
    }
}
