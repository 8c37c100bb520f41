package martenslip.sip.dialog;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.util.List;
import martenslip.sip.message.Headers;
import martenslip.sip.message.MessageParser;
import martenslip.sip.message.Request;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.TransportEvent;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

public class DialogLayerTest {
    private static final double LONG = 80_000;

    @DataProvider
    public Object[][] transports() {
        return new Object[][] {{false}, {true}};
    }

    @Test(dataProvider = "transports")
    public void setUpAndRelease(boolean reliable) {
        UserAgentPair pair = new UserAgentPair(reliable).call().pass(100);
        pair.accept();
        pair.pass(1000);
        assertEquals(pair.heard, List.of("incoming", "progress 100", "stood"));
        pair.out.bye(null);
        pair.pass(LONG);
        assertEquals(pair.heard.get(3), "in ended BYE");
        assertEquals(pair.sent("INVITE"), 1);
        assertEquals(pair.sent("200"), 2);
        assertEquals(pair.sent("ACK"), 1);
        assertTrue(pair.empty(), pair.wire.toString());
    }

    @Test(dataProvider = "transports")
    public void refusal(boolean reliable) {
        UserAgentPair pair = new UserAgentPair(reliable).call().pass(100);
        assertTrue(pair.in.refuse(pair.in.response(486, "Busy")));
        assertFalse(pair.in.refuse(pair.in.response(503, "Again")), "a second final answer");
        assertFalse(pair.in.accept(pair.in.response(200, "OK")), "a second final answer");
        pair.pass(LONG);
        assertEquals(pair.heard, List.of("incoming", "progress 100", "refused 486"));
        assertEquals(pair.sent("486"), 1);
        assertEquals(pair.sent("ACK"), 1);
        assertTrue(pair.empty());
    }

    /** Each message lost on its first way must be repaired by the timer that is there for it. */
    @DataProvider
    public Object[][] lostOnce() {
        return new Object[][] {{"INVITE"}, {"100"}, {"200"}, {"ACK"}, {"BYE"}, {"503"}};
    }

    @Test(dataProvider = "lostOnce")
    public void aLostMessageIsRepaired(String word) {
        UserAgentPair pair = new UserAgentPair(false);
        int[] left = {1};
        pair.loses = (message, toCalled) -> UserAgentPair.word(message).equals(word) && left[0]-- > 0;
        pair.call().pass(700);
        if (word.equals("503")) {
            pair.in.refuse(pair.in.response(503, "Full"));
            pair.pass(LONG);
            assertEquals(pair.heard.get(2), "refused 503");
            assertEquals(pair.sent("503"), 2);
        } else {
            pair.accept();
            pair.pass(3000);
            pair.out.bye(null);
            pair.pass(LONG);
            assertEquals(pair.heard.stream().filter("stood"::equals).count(), 1);
            assertEquals(pair.heard.get(pair.heard.size() - 1), "in ended BYE");
        }
        assertTrue(pair.empty(), pair.wire.toString());
    }

    @Test
    public void copiesOfAllMessagesChangeNothing() {
        UserAgentPair pair = new UserAgentPair(false);
        pair.copies = true;
        pair.call().pass(100);
        pair.accept();
        pair.pass(2000);
        pair.in.bye(null);
        pair.pass(LONG);
        assertEquals(
                pair.heard.stream().filter(one -> !one.startsWith("progress")).toList(),
                List.of("incoming", "stood", "out ended BYE"));
        assertTrue(pair.empty());
    }

    @Test
    public void noAnswerAtAllFailsAfterTimerB() {
        UserAgentPair pair = new UserAgentPair(false);
        pair.loses = (message, toCalled) -> true;
        pair.call().pass(31_000);
        assertEquals(pair.heard, List.of());
        pair.pass(2000);
        assertEquals(pair.heard, List.of("failed TIMED_OUT"));
        assertEquals(pair.sent("INVITE"), 7);
        assertTrue(pair.empty());
    }

    @Test
    public void givenUpBeforeAnyResponseSendsNothingMoreUntilOneComes() {
        UserAgentPair pair = new UserAgentPair(false);
        pair.loses = (message, toCalled) -> !toCalled;
        pair.call().pass(50);
        pair.out.cancel(null);
        pair.pass(5000);
        assertEquals(pair.sent("INVITE"), 1);
        assertEquals(pair.sent("CANCEL"), 0);
        // The 100 was lost; the called side now rings, and that is heard.
        pair.loses = (message, toCalled) -> false;
        pair.in.progress(pair.in.response(180, "Ringing"));
        pair.pass(LONG);
        assertEquals(pair.sent("CANCEL"), 1);
        assertEquals(pair.sent("487"), 1);
        assertEquals(pair.heard, List.of("incoming", "in cancelled"));
        assertTrue(pair.empty());
    }

    @Test(dataProvider = "transports")
    public void cancelInTime(boolean reliable) {
        UserAgentPair pair = new UserAgentPair(reliable).call().pass(100);
        pair.out.cancel("Q.850;cause=102");
        pair.pass(LONG);
        assertEquals(pair.heard, List.of("incoming", "progress 100", "in cancelled"));
        assertEquals(pair.sent("487"), 1);
        assertTrue(pair.empty(), pair.wire.toString());
    }

    /** The 200 and the CANCEL pass each other: the call stands there and must be ended. */
    @Test(dataProvider = "transports")
    public void cancelThatCrossesThe200EndsWithAckAndBye(boolean reliable) {
        UserAgentPair pair = new UserAgentPair(reliable).call().pass(100);
        pair.accept();
        pair.out.cancel(null);
        pair.pass(LONG);
        assertEquals(pair.heard, List.of("incoming", "progress 100", "in ended BYE"));
        assertEquals(pair.sent("ACK"), 1);
        assertEquals(pair.sent("BYE"), 1);
        assertTrue(pair.empty(), pair.wire.toString());
    }

    @Test
    public void the200WhoseAckNeverComesIsEndedWithBye() {
        UserAgentPair pair = new UserAgentPair(false);
        pair.loses = (message, toCalled) -> UserAgentPair.word(message).equals("ACK");
        pair.call().pass(100);
        pair.accept();
        pair.pass(LONG);
        assertEquals(pair.heard, List.of("incoming", "progress 100", "stood", "in ended NO_ACK", "out ended BYE"));
        assertEquals(pair.sent("200") - 1, 11, pair.wire.toString());
        assertTrue(pair.empty());
    }

    @Test
    public void theCalledSideWaitsForTheAckBeforeItsBye() {
        UserAgentPair pair = new UserAgentPair(false);
        int[] lost = {1};
        pair.loses = (message, toCalled) -> UserAgentPair.word(message).equals("ACK") && lost[0]-- > 0;
        pair.call().pass(100);
        pair.accept();
        pair.pass(50);
        pair.in.bye(null);
        pair.pass(200);
        assertEquals(pair.sent("BYE"), 0);
        pair.pass(LONG);
        assertEquals(pair.sent("BYE"), 1);
        assertEquals(pair.heard, List.of("incoming", "progress 100", "stood", "out ended BYE"));
        assertTrue(pair.empty());
    }

    @Test(dataProvider = "transports")
    public void byeFromBothSidesAtOnce(boolean reliable) {
        UserAgentPair pair = new UserAgentPair(reliable).call().pass(100);
        pair.accept();
        pair.pass(100);
        pair.in.bye(null);
        pair.out.bye(null);
        pair.pass(LONG);
        assertEquals(pair.heard, List.of("incoming", "progress 100", "stood"));
        assertTrue(pair.empty(), pair.wire.toString());
    }

    @Test
    public void aConnectionThatBreaksReachesTransactionsAndDialogs() {
        UserAgentPair early = new UserAgentPair(true).call().pass(100);
        Hop hop = new Hop(Hop.Protocol.TCP, early.out.hop().address(), 0);
        early.caller.transactionLayer().handleEvent(new TransportEvent.ConnectionLost(hop, true, "reset"));
        assertEquals(early.heard, List.of("incoming", "progress 100", "failed BROKEN", "broken"));
        UserAgentPair stands = new UserAgentPair(true).call().pass(100);
        stands.accept();
        stands.pass(100);
        stands.caller.transactionLayer().handleEvent(new TransportEvent.ConnectionLost(hop, true, "reset"));
        assertEquals(stands.heard.get(3), "out ended CONNECTION_LOST");
        UserAgentPair never = new UserAgentPair(true);
        never.loses = (message, toCalled) -> true;
        never.call().pass(10);
        never.caller.transactionLayer().handleEvent(new TransportEvent.ConnectionLost(hop, false, "refused"));
        assertEquals(never.heard, List.of("failed NO_CONNECTION", "broken"));
    }

    /** Over TCP no timer repeats an answer; one that went down with its connection must go again. */
    @Test
    public void anAnswerLostWithItsConnectionIsSentAgain() {
        UserAgentPair pair = new UserAgentPair(true).call().pass(100);
        pair.loses = (message, toCalled) -> UserAgentPair.word(message).equals("503");
        pair.in.refuse(pair.in.response(503, "Full"));
        pair.pass(50);
        pair.loses = (message, toCalled) -> false;
        pair.called
                .transactionLayer()
                .handleEvent(
                        new TransportEvent.ConnectionLost(pair.in.transaction().from(), true, "reset"));
        pair.pass(100);
        assertEquals(pair.heard.get(pair.heard.size() - 1), "refused 503");
        assertEquals(pair.sent("503"), 2);
    }

    private static String answered(UserAgentPair pair, Request request) {
        pair.wire.clear();
        byte[] bytes = request.bytes();
        pair.called
                .transactionLayer()
                .handleEvent(new TransportEvent.MessageReceived(
                        MessageParser.parse(bytes, bytes.length).message(),
                        pair.call().out.hop()));
        return pair.wire.stream()
                .filter(line -> line.startsWith("<"))
                .reduce((a, b) -> b)
                .orElse("nothing");
    }

    private static Request stray(String method, String branch, String toTag, String more) {
        Headers headers = new Headers();
        headers.add("Via", "SIP/2.0/UDP 127.0.0.1:1000;branch=z9hG4bK" + branch);
        headers.add("From", "<sip:a@h>;tag=s").add("To", "<sip:b@h>" + toTag).add("Call-ID", "stray");
        headers.add("CSeq", "5 " + method).add("Contact", "<sip:a@127.0.0.1:1000>");
        if (!more.isEmpty()) {
            headers.add(more.split(": ")[0], more.split(": ")[1]);
        }
        return new Request(method, "sip:b@127.0.0.1:2000", headers);
    }

    @DataProvider
    public Object[][] strays() {
        return new Object[][] {
            {"BYE", ";tag=no", "", "< 481"},
            {"CANCEL", "", "", "< 481"},
            {"INVITE", ";tag=no", "", "< 481"},
            {"INVITE", "", "Require: 100rel", "< 420"},
            {"INVITE", "", "Max-Forwards: 0", "< 483"},
            {"INFO", ";tag=no", "", "< 405"},
            {"NONSENSE", "", "", "< 501"},
            {"OPTIONS", "", "", "< 200"},
            {"ACK", ";tag=no", "", "nothing"}
        };
    }

    @Test(dataProvider = "strays")
    public void whatBelongsToNoCallGetsItsAnswer(String method, String toTag, String more, String answer) {
        assertEquals(answered(new UserAgentPair(false), stray(method, "s", toTag, more)), answer);
    }

    @Test
    public void theSameInviteByAnotherWayIsMerged() {
        UserAgentPair pair = new UserAgentPair(false);
        assertEquals(answered(pair, stray("INVITE", "one", "", "")), "< 100");
        assertEquals(answered(pair, stray("INVITE", "two", "", "")), "< 482");
    }

    @Test
    public void requestsOutOfOrderAndChangesOfTheSession() {
        UserAgentPair pair = new UserAgentPair(false).call().pass(100);
        pair.accept();
        pair.pass(100);
        String to = pair.in.response(200, "OK").headers().first("To").replaceFirst(".*;tag=", ";tag=");
        for (String[] one : new String[][] {{"2 INVITE", "< 488"}, {"2 INFO", "< 500"}, {"3 INFO", "< 405"}}) {
            Request request = stray(one[0].substring(2), "o" + one[0].charAt(0) + one[1].charAt(2), to, "");
            request.headers()
                    .set("From", "<sip:a@127.0.0.1>;tag=f")
                    .set("Call-ID", "call")
                    .set("CSeq", one[0]);
            byte[] bytes = request.bytes();
            pair.wire.clear();
            pair.called
                    .transactionLayer()
                    .handleEvent(new TransportEvent.MessageReceived(
                            MessageParser.parse(bytes, bytes.length).message(), pair.out.hop()));
            assertEquals(pair.wire.get(0), one[1], one[0]);
        }
    }

    @Test
    public void aFaultOfTheUserCostsNobodyTheAnswer() {
        UserAgentPair pair = new UserAgentPair(false);
        pair.faulty = true;
        pair.call();
        for (int i = 0; i < 100_000 && !pair.heard.contains("refused 500"); i++) {
            try {
                pair.pass(1);
            } catch (IllegalStateException e) {
                assertEquals(e.getMessage(), "planted");
            }
        }
        assertEquals(pair.heard, List.of("progress 100", "refused 500"));
        pair.pass(70_000);
        assertTrue(pair.empty());
    }
}
