package martenslip.platform;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import martenslip.control.ControllerFactory;

/**
 * Runs a controller on loopback for a short time, with one switch, a journal service and some contacts that are
 * established, refused, cancelled and released. The build runs it once to create the JVM's archive of the classes a
 * controller needs (class data sharing): most of the start is spent on reading and verifying them, on a fraction of a
 * core.
 */
public final class CdsTrainingRun {
    private static final int CONTACT_COUNT = 30;
    private static final int PATIENCE_MS = 2000;
    private static final String INSTANCE_JSON =
            "{\"instanceId\":\"s-%d\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"here\",\"cell\":%d,"
                    + "\"lifecycle\":\"up\",\"startedAtMs\":0}";

    private CdsTrainingRun() {}

    /**
     * Runs the service.
     *
     * @throws IOException where the controller does not serve, so that the build fails
     */
    public static void run(ControllerFactory controllerFactory) throws IOException {
        Path file = Files.createTempFile("rehearsal", ".json");
        try (ServerSocket switchListener = openListener();
                ServerSocket journalListener = openListener()) {
            acceptConnections(switchListener, CdsTrainingRun::serveSwitch);
            acceptConnections(journalListener, CdsTrainingRun::serveJournal);
            String switchListEvent = String.format(
                    "{\"pos\":1,\"hosts\":{\"generation\":1,\"reset\":true,\"instances\":[" + INSTANCE_JSON + ","
                            + INSTANCE_JSON + "]}}",
                    0,
                    switchListener.getLocalPort(),
                    0,
                    1,
                    switchListener.getLocalPort(),
                    1);
            Files.writeString(
                    file,
                    "{\"name\":\"rehearsal\",\"listen\":\"127.0.0.1:0\",\"seed\":\"1\",\"limits\":{\"sockets\":"
                            + "64},\"peer_listen\":\"127.0.0.1:0\",\"peers\":[],\"journal\":\"127.0.0.1:"
                            + journalListener.getLocalPort() + "\",\"known\":{\"pos\":1,\"entries\":[" + switchListEvent
                            + "]},\"settings\":{\"classes\":[{"
                            + "\"name\":\"any\",\"aim-ns\":1000000000,\"hard-limit-ns\":3000000000,\"worth\":1}],\"zones\":[\"here\"],"
                            + "\"me\":0,\"family-info\":{\"mean-hold-ns\":[1000000000],\"widths\":[1],\"home-no\":0,\"release-ns\":"
                            + "200000000},\"policy-limits\":{\"send-cap\":5,\"cancel\":true,\"peers\":true,\"max-open\":50},"
                            + "\"report\":{\"fields\":[\"spare\",\"total\",\"allowed\"]},\"round-ns\":5000000}}");
            try (ControllerService service =
                    new ControllerService(file, controllerFactory, new PrintStream(OutputStream.nullOutputStream()))) {
                service.startServing();
                service.reload();
                placeContacts(service.listenAddress());
            }
        } finally {
            Files.delete(file);
        }
    }

    private static ServerSocket openListener() throws IOException {
        return new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    }

    /** Serves one connection, which is closed when the handler returns. */
    interface ConnectionHandler {
        void handle(Socket socket) throws IOException;
    }

    /** Accepts connections until the listener is closed, and serves each on a thread of its own. */
    static void acceptConnections(ServerSocket listener, ConnectionHandler connectionHandler) {
        Thread acceptThread = new Thread(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    Thread connectionThread = new Thread(() -> {
                        try (socket) {
                            connectionHandler.handle(socket);
                        } catch (IOException e) {
                            // Expected: the run closes its connections when it ends.
                            return;
                        }
                    });
                    connectionThread.setDaemon(true);
                    connectionThread.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        acceptThread.setDaemon(true);
        acceptThread.start();
    }

    private static void serveJournal(Socket socket) throws IOException {
        send(
                socket,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\nid: 2\ndata: {\"pos\":2,\"hosts\":{"
                        + "\"generation\":2,\"reset\":false,\"instances\":[]}}\n\n");
        while (socket.getInputStream().read() >= 0) {
            // Reads until the controller closes the connection.
            continue;
        }
    }

    /** A switch that accepts two of every three set-ups, in the order they arrive, and rejects the third. */
    private static void serveSwitch(Socket socket) throws IOException {
        send(socket, "{\"verb\":\"LOAD\",\"tag\":\"0\",\"opts\":{\"load\":\"spare:9;total:9;allowed:50.5\"}}\n");
        BufferedReader reader =
                new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        int startCount = 0;
        for (String line = reader.readLine(); line != null; line = reader.readLine()) {
            int tagStart = line.indexOf("\"tag\":\"") + 7;
            String tag = line.substring(tagStart, line.indexOf('"', tagStart));
            if (line.contains("\"START\"") && startCount++ % 3 < 2) {
                send(socket, "{\"verb\":\"STARTED\",\"tag\":\"" + tag + "\",\"opts\":{},\"blob\":\"c=\"}\n");
                send(
                        socket,
                        "{\"verb\":\"FINISH\",\"tag\":\"" + tag
                                + "\",\"opts\":{\"load\":\"spare:8;total:9\"},\"rc\":16}\n");
            } else if (line.contains("\"START\"")) {
                send(
                        socket,
                        "{\"verb\":\"FINISH\",\"tag\":\"" + tag + "\",\"opts\":{\"note\":\"overload\"},\"rc\":34}\n");
            }
        }
    }

    private static void placeContacts(InetSocketAddress address) throws IOException {
        try (Socket connection = new Socket(address.getAddress(), address.getPort())) {
            connection.setSoTimeout(2 * PATIENCE_MS);
            InputStream in = connection.getInputStream();
            byte[] buffer = new byte[4096];
            int successCount = 0;
            for (int i = 0; i < 1000 && successCount == 0; i++) {
                send(connection, message("OPTIONS", "ping", "0000000000000000", "", ""));
                successCount =
                        new String(buffer, 0, in.read(buffer), StandardCharsets.US_ASCII).startsWith("SIP/2.0 200")
                                ? 1
                                : 0;
            }
            if (successCount == 0) {
                throw new IOException("the controller of the training run never answered OPTIONS with 200");
            }
            String setUpHeaders =
                    "Call-Kind: any\r\nAnswer-Within: " + PATIENCE_MS + "\r\nRouting-Data: dest:1;width:1;via:-1\r\n";
            for (int i = 1; i <= CONTACT_COUNT; i++) {
                String tag = String.format("%016x", i);
                send(connection, message("INVITE", "00000000000000aa", tag, setUpHeaders, "c=\r\n"));
                String response = new String(buffer, 0, in.read(buffer), StandardCharsets.US_ASCII);
                send(
                        connection,
                        message(
                                response.startsWith("SIP/2.0 200") ? "ACK" : "CANCEL",
                                "00000000000000aa",
                                tag,
                                "",
                                ""));
            }
        }
    }

    private static String message(String method, String calledNumber, String callId, String extraHeaders, String body) {
        return method + " sip:" + calledNumber + "@net SIP/2.0\r\nVia: SIP/2.0/TCP here\r\nCall-ID: " + callId
                + "\r\nCSeq: 1 " + method + "\r\n" + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n"
                + body;
    }

    private static void send(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }
}
