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
 * A short service on loopback with itself: one switch, a feed, some contacts set up, refused, withdrawn and released.
 * The build runs it once, so that the JVM can keep an archive of the classes that a controller needs: most of its start
 * is reading and checking them, on part of a core.
 */
public final class CdsTrainingRun {
    private static final int CONTACTS = 30;
    private static final int PATIENCE_MS = 2000;
    private static final String EACH =
            "{\"instanceId\":\"s-%d\",\"hostPort\":\"127.0.0.1:%d\",\"zone\":\"here\",\"cell\":%d,"
                    + "\"lifecycle\":\"up\",\"startedAtMs\":0}";

    private CdsTrainingRun() {}

    /** Throws where the controller does not serve: the build must then fail. */
    public static void run(ControllerFactory maker) throws IOException {
        Path file = Files.createTempFile("rehearsal", ".json");
        try (ServerSocket machine = listener();
                ServerSocket feed = listener()) {
            each(machine, CdsTrainingRun::answer);
            each(feed, CdsTrainingRun::tell);
            String list = String.format(
                    "{\"pos\":1,\"hosts\":{\"generation\":1,\"reset\":true,\"instances\":[" + EACH + "," + EACH + "]}}",
                    0,
                    machine.getLocalPort(),
                    0,
                    1,
                    machine.getLocalPort(),
                    1);
            Files.writeString(
                    file,
                    "{\"name\":\"rehearsal\",\"listen\":\"127.0.0.1:0\",\"seed\":\"1\",\"limits\":{\"sockets\":"
                            + "64},\"peer_listen\":\"127.0.0.1:0\",\"peers\":[],\"journal\":\"127.0.0.1:"
                            + feed.getLocalPort() + "\",\"known\":{\"pos\":1,\"entries\":[" + list
                            + "]},\"settings\":{\"classes\":[{"
                            + "\"name\":\"any\",\"aim-ns\":1000000000,\"hard-limit-ns\":3000000000,\"worth\":1}],\"zones\":[\"here\"],"
                            + "\"me\":0,\"family-info\":{\"mean-hold-ns\":[1000000000],\"widths\":[1],\"home-no\":0,\"release-ns\":"
                            + "200000000},\"policy-limits\":{\"send-cap\":5,\"cancel\":true,\"peers\":true,\"max-open\":50},"
                            + "\"report\":{\"fields\":[\"spare\",\"total\",\"allowed\"]},\"round-ns\":5000000}}");
            try (ControllerService serve =
                    new ControllerService(file, maker, new PrintStream(OutputStream.nullOutputStream()))) {
                serve.startServing();
                serve.reload();
                call(serve.listens());
            }
        } finally {
            Files.delete(file);
        }
    }

    private static ServerSocket listener() throws IOException {
        return new ServerSocket(0, 16, InetAddress.getLoopbackAddress());
    }

    /** Serves one connection, which is closed after it. */
    interface ConnectionHandler {
        void by(Socket socket) throws IOException;
    }

    /** Has each connection of a listener served by a thread of its own until the listener is closed. */
    static void each(ServerSocket listener, ConnectionHandler served) {
        Thread accepting = new Thread(() -> {
            while (!listener.isClosed()) {
                try {
                    Socket socket = listener.accept();
                    Thread one = new Thread(() -> {
                        try (socket) {
                            served.by(socket);
                        } catch (IOException e) {
                            // The rehearsal ends its connections as it ends.
                            return;
                        }
                    });
                    one.setDaemon(true);
                    one.start();
                } catch (IOException e) {
                    return;
                }
            }
        });
        accepting.setDaemon(true);
        accepting.start();
    }

    private static void tell(Socket socket) throws IOException {
        say(
                socket,
                "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n: here\n\nid: 2\ndata: {\"pos\":2,\"hosts\":{"
                        + "\"generation\":2,\"reset\":false,\"instances\":[]}}\n\n");
        while (socket.getInputStream().read() >= 0) {
            // Until the controller ends it.
            continue;
        }
    }

    /** Takes two of three, in the order they come. */
    private static void answer(Socket socket) throws IOException {
        say(socket, "{\"verb\":\"LOAD\",\"tag\":\"0\",\"opts\":{\"load\":\"spare:9;total:9;allowed:50.5\"}}\n");
        BufferedReader in = new BufferedReader(new InputStreamReader(socket.getInputStream(), StandardCharsets.UTF_8));
        int taken = 0;
        for (String line = in.readLine(); line != null; line = in.readLine()) {
            int at = line.indexOf("\"tag\":\"") + 7;
            String tag = line.substring(at, line.indexOf('"', at));
            if (line.contains("\"START\"") && taken++ % 3 < 2) {
                say(socket, "{\"verb\":\"STARTED\",\"tag\":\"" + tag + "\",\"opts\":{},\"blob\":\"c=\"}\n");
                say(
                        socket,
                        "{\"verb\":\"FINISH\",\"tag\":\"" + tag
                                + "\",\"opts\":{\"load\":\"spare:8;total:9\"},\"rc\":16}\n");
            } else if (line.contains("\"START\"")) {
                say(
                        socket,
                        "{\"verb\":\"FINISH\",\"tag\":\"" + tag + "\",\"opts\":{\"note\":\"overload\"},\"rc\":34}\n");
            }
        }
    }

    private static void call(InetSocketAddress at) throws IOException {
        try (Socket line = new Socket(at.getAddress(), at.getPort())) {
            line.setSoTimeout(2 * PATIENCE_MS);
            InputStream in = line.getInputStream();
            byte[] room = new byte[4096];
            int passed = 0;
            for (int i = 0; i < 1000 && passed == 0; i++) {
                say(line, message("OPTIONS", "ping", "0000000000000000", "", ""));
                passed =
                        new String(room, 0, in.read(room), StandardCharsets.US_ASCII).startsWith("SIP/2.0 200") ? 1 : 0;
            }
            if (passed == 0) {
                throw new IOException("the rehearsal's controller never passed its test");
            }
            String figures =
                    "Call-Kind: any\r\nAnswer-Within: " + PATIENCE_MS + "\r\nRouting-Data: dest:1;width:1;via:-1\r\n";
            for (int i = 1; i <= CONTACTS; i++) {
                String tag = String.format("%016x", i);
                say(line, message("INVITE", "00000000000000aa", tag, figures, "c=\r\n"));
                String said = new String(room, 0, in.read(room), StandardCharsets.US_ASCII);
                say(line, message(said.startsWith("SIP/2.0 200") ? "ACK" : "CANCEL", "00000000000000aa", tag, "", ""));
            }
        }
    }

    private static String message(String method, String user, String tag, String more, String body) {
        return method + " sip:" + user + "@net SIP/2.0\r\nVia: SIP/2.0/TCP here\r\nCall-ID: " + tag + "\r\nCSeq: 1 "
                + method + "\r\n" + more + "Content-Length: " + body.length() + "\r\n\r\n" + body;
    }

    private static void say(Socket socket, String text) throws IOException {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
    }
}
