package martenslip.sip;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNotEquals;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import martenslip.control.Span;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.dialog.UserAgentCore;
import martenslip.sip.message.Headers;
import martenslip.sip.message.Request;
import martenslip.sip.message.Response;
import martenslip.sip.transaction.ClientTransaction;
import martenslip.sip.transaction.ClientTransactionUser;
import martenslip.sip.transaction.RequestFailure;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.TransactionTimers;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.MessageInterceptor;
import martenslip.sip.transport.TransportLimits;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/**
 * A peer whose TCP connection stays open and brings nothing more. Guards against an endpoint that sends every further
 * request on it.
 */
public class MuteTcpConnectionTest {
    private static final long TIMEOUT_SECONDS = 10;
    private static final TransactionTimers SHORT_TIMERS =
            new TransactionTimers(Span.ofMillis(5), Span.ofMillis(40), Span.ofMillis(50), Span.ZERO);

    /** A request that the peer has read, and the connection it came by. */
    private record ReceivedRequest(Socket connection, String via) {}

    private final LinkedBlockingQueue<ReceivedRequest> received = new LinkedBlockingQueue<>();
    private final LinkedBlockingQueue<Object> outcomes = new LinkedBlockingQueue<>();
    private ServerSocket peer;
    private Endpoint endpoint;
    private int requestCount;

    @BeforeMethod
    public void open() throws IOException {
        received.clear();
        outcomes.clear();
        peer = new ServerSocket(0, 8, InetAddress.getLoopbackAddress());
        startDaemon(this::accept);
        endpoint = new Endpoint("mute", TransportLimits.DEFAULTS, MessageInterceptor.PASS_THROUGH, failure -> {});
        endpoint.open(null, new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
        endpoint.start(userAgentCore(), (message, from) -> false, () -> {}, SHORT_TIMERS, 1, 16);
    }

    @AfterMethod
    public void close() throws IOException {
        endpoint.close();
        peer.close();
    }

    private static void startDaemon(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
    }

    private void accept() {
        while (!peer.isClosed()) {
            try {
                Socket connection = peer.accept();
                startDaemon(() -> read(connection));
            } catch (IOException e) {
                return;
            }
        }
    }

    private void read(Socket connection) {
        try {
            BufferedReader reader =
                    new BufferedReader(new InputStreamReader(connection.getInputStream(), StandardCharsets.US_ASCII));
            for (String line = reader.readLine(); line != null; line = reader.readLine()) {
                if (line.startsWith("Via: ")) {
                    received.add(new ReceivedRequest(connection, line));
                }
            }
        } catch (IOException e) {
            // Expected: the endpoint closes its connections.
            return;
        }
    }

    private static UserAgentCore userAgentCore() {
        return new UserAgentCore() {
            @Override
            public void inviteReceived(UasCall call) {}

            @Override
            public void requestReceived(ServerTransaction transaction) {}

            @Override
            public void connectionLost(Hop hop, boolean everUp) {}

            @Override
            public Set<String> additionalMethods() {
                return Set.of();
            }
        };
    }

    private ReceivedRequest sendOptions() throws InterruptedException {
        int cseqNumber = ++requestCount;
        endpoint.execute(() -> {
            Headers headers = new Headers();
            headers.add("Max-Forwards", "70")
                    .add("From", "<sip:a@h>;tag=1")
                    .add("To", "<sip:b@h>")
                    .add("Call-ID", "c" + cseqNumber)
                    .add("CSeq", cseqNumber + " OPTIONS");
            Request options = new Request("OPTIONS", "sip:b@h", headers);
            endpoint.dialogLayer()
                    .transactionLayer()
                    .send(options, Hop.tcp((InetSocketAddress) peer.getLocalSocketAddress()), outcomeRecorder());
        });
        return received.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private ClientTransactionUser outcomeRecorder() {
        return new ClientTransactionUser() {
            @Override
            public void responseReceived(ClientTransaction transaction, Response response) {
                outcomes.add(response.status());
            }

            @Override
            public void failed(ClientTransaction transaction, RequestFailure failure) {
                outcomes.add(failure);
            }
        };
    }

    private Object nextOutcome() throws InterruptedException {
        return outcomes.poll(TIMEOUT_SECONDS, TimeUnit.SECONDS);
    }

    private static void respond(ReceivedRequest request, int cseqNumber) throws IOException {
        String response = "SIP/2.0 200 OK\r\n" + request.via + "\r\nFrom: <sip:a@h>;tag=1\r\nTo: <sip:b@h>;tag=2\r\n"
                + "Call-ID: c" + cseqNumber + "\r\nCSeq: " + cseqNumber + " OPTIONS\r\nContent-Length: 0\r\n\r\n";
        request.connection.getOutputStream().write(response.getBytes(StandardCharsets.US_ASCII));
    }

    @Test(timeOut = 60_000)
    public void theNextRequestAfterATimeoutGoesOutOnANewConnection() throws Exception {
        ReceivedRequest first = sendOptions();
        assertEquals(nextOutcome(), RequestFailure.TIMED_OUT);
        ReceivedRequest second = sendOptions();
        assertNotEquals(second.connection, first.connection);
        respond(second, requestCount);
        assertEquals(nextOutcome(), 200);
    }

    /** The twin: one request is left unanswered on a connection that works. */
    @Test(timeOut = 60_000)
    public void aConnectionThatHasBroughtSomethingSinceIsKept() throws Exception {
        ReceivedRequest unanswered = sendOptions();
        respond(sendOptions(), requestCount);
        assertEquals(nextOutcome(), 200);
        assertEquals(nextOutcome(), RequestFailure.TIMED_OUT);
        assertEquals(sendOptions().connection, unanswered.connection);
    }
}
