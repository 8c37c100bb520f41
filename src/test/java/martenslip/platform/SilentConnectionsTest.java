package martenslip.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import martenslip.RoutingPolicy;
import martenslip.platform.PlatformStandIn.CallerConnection;
import martenslip.platform.PlatformStandIn.ReceivedMessage;
import martenslip.platform.PlatformStandIn.SwitchStandIn;
import org.testng.annotations.AfterMethod;
import org.testng.annotations.BeforeMethod;
import org.testng.annotations.Test;

/** A controller whose connections are taken by clients that say nothing, while a usual caller is being served. */
public class SilentConnectionsTest {
    private static final String CALL_ID = "9b1f03aa5c7e2d41";
    /** More than callers may hold with the 64 descriptors of the configuration. */
    private static final int SILENT_CONNECTIONS = 80;

    private final List<Socket> silentSockets = new ArrayList<>();
    private PlatformStandIn platform;
    private List<SwitchStandIn> switches;
    private ControllerService service;

    @BeforeMethod
    public void startService() throws IOException {
        platform = new PlatformStandIn();
        switches = platform.startSwitches(2);
        PlatformStandIn.JournalStandIn journal = platform.new JournalStandIn();
        String list = PlatformStandIn.initialList(switches);
        journal.addEvent(list);
        service = new ControllerService(
                PlatformStandIn.writeTemporary(PlatformStandIn.configuration(journal.port(), list)),
                RoutingPolicy::new,
                new PrintStream(OutputStream.nullOutputStream()));
        service.startServing();
    }

    @AfterMethod
    public void stopService() throws Exception {
        for (Socket socket : silentSockets) {
            socket.close();
        }
        silentSockets.clear();
        service.close();
        platform.close();
    }

    private Socket connectSilently() throws IOException {
        Socket socket = new Socket();
        silentSockets.add(socket);
        socket.connect(service.listenAddress(), 5000);
        socket.setSoTimeout(10_000);
        return socket;
    }

    /** Guards against a call that is answered and cut before its ACK was read, as room is made (review/3). */
    @Test(timeOut = 30_000)
    public void anAnsweredCallIsNotCutBeforeItsAckWasRead() throws Exception {
        CallerConnection caller = PlatformStandIn.connectReadyCaller(platform, service);
        caller.invite(CALL_ID, "dear", 3000, "m=audio");
        ReceivedMessage start = switches.get(1).next("START");
        // The first of them is ended to make room for the last ones; by then the caller's input is as old as its own.
        Socket first = connectSilently();
        for (int i = 0; i < SILENT_CONNECTIONS; i++) {
            connectSilently();
        }
        assertEquals(first.getInputStream().read(), -1, "no room was made");
        start.started("m=audio 1");
        assertTrue(caller.next().startsWith("SIP/2.0 200 "));
        for (int i = 0; i < SILENT_CONNECTIONS; i++) {
            connectSilently();
        }
        assertNull(
                switches.get(1).receivedMessages.poll(700, TimeUnit.MILLISECONDS),
                "the call was cut though nobody asked for it");
        caller.send(CallerConnection.message("ACK", CALL_ID, "", ""));
        start.finish(16, "");
        assertTrue(caller.next().startsWith("BYE "));
    }
}
