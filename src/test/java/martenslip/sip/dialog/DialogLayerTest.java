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

/** Call set-up, cancellation and release between two user agents, with lost and duplicated messages. */
public class DialogLayerTest {
    /** Longer than any transaction or dialog lasts. */
    private static final double ALL_TIMERS_MS = 80_000;

    @DataProvider
    public Object[][] transports() {
        return new Object[][] {{false}, {true}};
    }

    @Test(dataProvider = "transports")
    public void callIsEstablishedAndEndedByBye(boolean reliable) {
        UserAgentPair pair = new UserAgentPair(reliable).startCall().advance(100);
        pair.accept();
        pair.advance(1000);
        assertEquals(pair.events, List.of("incoming", "progress 100", "established"));
        pair.uacCall.bye(null);
        pair.advance(ALL_TIMERS_MS);
        assertEquals(pair.events.get(3), "uas ended BYE");
        assertEquals(pair.sentCount("INVITE"), 1);
        assertEquals(pair.sentCount("200"), 2);
        assertEquals(pair.sentCount("ACK"), 1);
        assertTrue(pair.isEmpty(), pair.sentMessages.toString());
    }

    @Test(dataProvider = "transports")
    public void onlyOneFinalResponseIsSent(boolean reliable) {
        UserAgentPair pair = new UserAgentPair(reliable).startCall().advance(100);
        assertTrue(pair.uasCall.refuse(pair.uasCall.response(486, "Busy")));
        assertFalse(pair.uasCall.refuse(pair.uasCall.response(503, "Again")), "a second final response");
        assertFalse(pair.uasCall.accept(pair.uasCall.response(200, "OK")), "a second final response");
        pair.advance(ALL_TIMERS_MS);
        assertEquals(pair.events, List.of("incoming", "progress 100", "refused 486"));
        assertEquals(pair.sentCount("486"), 1);
        assertEquals(pair.sentCount("ACK"), 1);
        assertTrue(pair.isEmpty());
    }

    /** Each message that is lost once must be retransmitted by its timer. */
    @DataProvider
    public Object[][] messagesLostOnce() {
        return new Object[][] {{"INVITE"}, {"100"}, {"200"}, {"ACK"}, {"BYE"}, {"503"}};
    }

    @Test(dataProvider = "messagesLostOnce")
    public void lostMessageIsRetransmitted(String label) {
        UserAgentPair pair = new UserAgentPair(false);
        int[] remainingLosses = {1};
        pair.isLost = (message, toUas) -> UserAgentPair.label(message).equals(label) && remainingLosses[0]-- > 0;
        pair.startCall().advance(700);
        if (label.equals("503")) {
            pair.uasCall.refuse(pair.uasCall.response(503, "Full"));
            pair.advance(ALL_TIMERS_MS);
            assertEquals(pair.events.get(2), "refused 503");
            assertEquals(pair.sentCount("503"), 2);
        } else {
            pair.accept();
            pair.advance(3000);
            pair.uacCall.bye(null);
            pair.advance(ALL_TIMERS_MS);
            assertEquals(pair.events.stream().filter("established"::equals).count(), 1);
            assertEquals(pair.events.get(pair.events.size() - 1), "uas ended BYE");
        }
        assertTrue(pair.isEmpty(), pair.sentMessages.toString());
    }

    @Test
    public void duplicatedMessagesChangeNothing() {
        UserAgentPair pair = new UserAgentPair(false);
        pair.duplicateMessages = true;
        pair.startCall().advance(100);
        pair.accept();
        pair.advance(2000);
        pair.uasCall.bye(null);
        pair.advance(ALL_TIMERS_MS);
        assertEquals(
                pair.events.stream()
                        .filter(event -> !event.startsWith("progress"))
                        .toList(),
                List.of("incoming", "established", "uac ended BYE"));
        assertTrue(pair.isEmpty());
    }

    @Test
    public void missingResponseFailsAfterTimerB() {
        UserAgentPair pair = new UserAgentPair(false);
        pair.isLost = (message, toUas) -> true;
        pair.startCall().advance(31_000);
        assertEquals(pair.events, List.of());
        pair.advance(2000);
        assertEquals(pair.events, List.of("failed TIMED_OUT"));
        assertEquals(pair.sentCount("INVITE"), 7);
        assertTrue(pair.isEmpty());
    }

    @Test
    public void cancelBeforeAnyResponseIsDelayedUntilOneArrives() {
        UserAgentPair pair = new UserAgentPair(false);
        pair.isLost = (message, toUas) -> !toUas;
        pair.startCall().advance(50);
        pair.uacCall.cancel(null);
        pair.advance(5000);
        assertEquals(pair.sentCount("INVITE"), 1);
        assertEquals(pair.sentCount("CANCEL"), 0);
        // The 100 was lost; the 180 that the UAS sends now arrives.
        pair.isLost = (message, toUas) -> false;
        pair.uasCall.progress(pair.uasCall.response(180, "Ringing"));
        pair.advance(ALL_TIMERS_MS);
        assertEquals(pair.sentCount("CANCEL"), 1);
        assertEquals(pair.sentCount("487"), 1);
        assertEquals(pair.events, List.of("incoming", "uas cancelled"));
        assertTrue(pair.isEmpty());
    }

    @Test(dataProvider = "transports")
    public void cancelBeforeFinalResponse(boolean reliable) {
        UserAgentPair pair = new UserAgentPair(reliable).startCall().advance(100);
        pair.uacCall.cancel("Q.850;cause=102");
        pair.advance(ALL_TIMERS_MS);
        assertEquals(pair.events, List.of("incoming", "progress 100", "uas cancelled"));
        assertEquals(pair.sentCount("487"), 1);
        assertTrue(pair.isEmpty(), pair.sentMessages.toString());
    }

    /** The 200 and the CANCEL cross: the call is established at the UAS and must be ended. */
    @Test(dataProvider = "transports")
    public void successCrossingCancelIsEndedWithAckAndBye(boolean reliable) {
        UserAgentPair pair = new UserAgentPair(reliable).startCall().advance(100);
        pair.accept();
        pair.uacCall.cancel(null);
        pair.advance(ALL_TIMERS_MS);
        assertEquals(pair.events, List.of("incoming", "progress 100", "uas ended BYE"));
        assertEquals(pair.sentCount("ACK"), 1);
        assertEquals(pair.sentCount("BYE"), 1);
        assertTrue(pair.isEmpty(), pair.sentMessages.toString());
    }

    @Test
    public void unacknowledged200IsEndedWithBye() {
        UserAgentPair pair = new UserAgentPair(false);
        pair.isLost = (message, toUas) -> UserAgentPair.label(message).equals("ACK");
        pair.startCall().advance(100);
        pair.accept();
        pair.advance(ALL_TIMERS_MS);
        assertEquals(
                pair.events, List.of("incoming", "progress 100", "established", "uas ended NO_ACK", "uac ended BYE"));
        assertEquals(pair.sentCount("200") - 1, 11, pair.sentMessages.toString());
        assertTrue(pair.isEmpty());
    }

    @Test
    public void uasWaitsForAckBeforeBye() {
        UserAgentPair pair = new UserAgentPair(false);
        int[] remainingLosses = {1};
        pair.isLost = (message, toUas) -> UserAgentPair.label(message).equals("ACK") && remainingLosses[0]-- > 0;
        pair.startCall().advance(100);
        pair.accept();
        pair.advance(50);
        pair.uasCall.bye(null);
        pair.advance(200);
        assertEquals(pair.sentCount("BYE"), 0);
        pair.advance(ALL_TIMERS_MS);
        assertEquals(pair.sentCount("BYE"), 1);
        assertEquals(pair.events, List.of("incoming", "progress 100", "established", "uac ended BYE"));
        assertTrue(pair.isEmpty());
    }

    @Test(dataProvider = "transports")
    public void byeFromBothSidesAtOnce(boolean reliable) {
        UserAgentPair pair = new UserAgentPair(reliable).startCall().advance(100);
        pair.accept();
        pair.advance(100);
        pair.uasCall.bye(null);
        pair.uacCall.bye(null);
        pair.advance(ALL_TIMERS_MS);
        assertEquals(pair.events, List.of("incoming", "progress 100", "established"));
        assertTrue(pair.isEmpty(), pair.sentMessages.toString());
    }

    @Test
    public void connectionLossReachesTransactionsAndDialogs() {
        UserAgentPair early = new UserAgentPair(true).startCall().advance(100);
        Hop hop = new Hop(Hop.Protocol.TCP, early.uacCall.hop().address(), 0);
        early.uacLayer.transactionLayer().handleEvent(new TransportEvent.ConnectionLost(hop, true, "reset"));
        assertEquals(early.events, List.of("incoming", "progress 100", "failed BROKEN", "connection lost"));
        UserAgentPair established = new UserAgentPair(true).startCall().advance(100);
        established.accept();
        established.advance(100);
        established.uacLayer.transactionLayer().handleEvent(new TransportEvent.ConnectionLost(hop, true, "reset"));
        assertEquals(established.events.get(3), "uac ended CONNECTION_LOST");
        UserAgentPair unconnected = new UserAgentPair(true);
        unconnected.isLost = (message, toUas) -> true;
        unconnected.startCall().advance(10);
        unconnected.uacLayer.transactionLayer().handleEvent(new TransportEvent.ConnectionLost(hop, false, "refused"));
        assertEquals(unconnected.events, List.of("failed NO_CONNECTION", "connection lost"));
    }

    /** Over TCP no timer retransmits a response; one that was lost with its connection must be sent again. */
    @Test
    public void responseLostWithItsConnectionIsSentAgain() {
        UserAgentPair pair = new UserAgentPair(true).startCall().advance(100);
        pair.isLost = (message, toUas) -> UserAgentPair.label(message).equals("503");
        pair.uasCall.refuse(pair.uasCall.response(503, "Full"));
        pair.advance(50);
        pair.isLost = (message, toUas) -> false;
        pair.uasLayer
                .transactionLayer()
                .handleEvent(new TransportEvent.ConnectionLost(
                        pair.uasCall.transaction().from(), true, "reset"));
        pair.advance(100);
        assertEquals(pair.events.get(pair.events.size() - 1), "refused 503");
        assertEquals(pair.sentCount("503"), 2);
    }

    /** The last message that the UAS sends when it receives the request, or "nothing". */
    private static String lastResponseTo(UserAgentPair pair, Request request) {
        pair.sentMessages.clear();
        byte[] bytes = request.bytes();
        pair.uasLayer
                .transactionLayer()
                .handleEvent(new TransportEvent.MessageReceived(
                        MessageParser.parse(bytes, bytes.length).message(),
                        pair.startCall().uacCall.hop(),
                        pair.timerWheel.now()));
        return pair.sentMessages.stream()
                .filter(line -> line.startsWith("<"))
                .reduce((a, b) -> b)
                .orElse("nothing");
    }

    private static Request requestOutsideDialog(String method, String branch, String toTag, String extraHeader) {
        Headers headers = new Headers();
        headers.add("Via", "SIP/2.0/UDP 127.0.0.1:1000;branch=z9hG4bK" + branch);
        headers.add("From", "<sip:a@h>;tag=s").add("To", "<sip:b@h>" + toTag).add("Call-ID", "stray");
        headers.add("CSeq", "5 " + method).add("Contact", "<sip:a@127.0.0.1:1000>");
        if (!extraHeader.isEmpty()) {
            headers.add(extraHeader.split(": ")[0], extraHeader.split(": ")[1]);
        }
        return new Request(method, "sip:b@127.0.0.1:2000", headers);
    }

    @DataProvider
    public Object[][] requestsOutsideDialogs() {
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

    @Test(dataProvider = "requestsOutsideDialogs")
    public void requestOutsideDialogGetsItsResponse(String method, String toTag, String extraHeader, String expected) {
        assertEquals(
                lastResponseTo(new UserAgentPair(false), requestOutsideDialog(method, "s", toTag, extraHeader)),
                expected);
    }

    @Test
    public void sameInviteByAnotherPathIsMerged() {
        UserAgentPair pair = new UserAgentPair(false);
        assertEquals(lastResponseTo(pair, requestOutsideDialog("INVITE", "one", "", "")), "< 100");
        assertEquals(lastResponseTo(pair, requestOutsideDialog("INVITE", "two", "", "")), "< 482");
    }

    @Test
    public void outOfOrderAndSessionChangingRequestsAreRefused() {
        UserAgentPair pair = new UserAgentPair(false).startCall().advance(100);
        pair.accept();
        pair.advance(100);
        String toTag = pair.uasCall.response(200, "OK").headers().first("To").replaceFirst(".*;tag=", ";tag=");
        for (String[] row : new String[][] {{"2 INVITE", "< 488"}, {"2 INFO", "< 500"}, {"3 INFO", "< 405"}}) {
            Request request =
                    requestOutsideDialog(row[0].substring(2), "o" + row[0].charAt(0) + row[1].charAt(2), toTag, "");
            request.headers()
                    .set("From", "<sip:a@127.0.0.1>;tag=f")
                    .set("Call-ID", "call")
                    .set("CSeq", row[0]);
            byte[] bytes = request.bytes();
            pair.sentMessages.clear();
            pair.uasLayer
                    .transactionLayer()
                    .handleEvent(new TransportEvent.MessageReceived(
                            MessageParser.parse(bytes, bytes.length).message(),
                            pair.uacCall.hop(),
                            pair.timerWheel.now()));
            assertEquals(pair.sentMessages.get(0), row[1], row[0]);
        }
    }

    @Test
    public void exceptionInUserAgentCoreIsAnswered500() {
        UserAgentPair pair = new UserAgentPair(false);
        pair.coreThrows = true;
        pair.startCall();
        for (int i = 0; i < 100_000 && !pair.events.contains("refused 500"); i++) {
            try {
                pair.advance(1);
            } catch (IllegalStateException e) {
                assertEquals(e.getMessage(), "injected failure");
            }
        }
        assertEquals(pair.events, List.of("progress 100", "refused 500"));
        pair.advance(70_000);
        assertTrue(pair.isEmpty());
    }
}
