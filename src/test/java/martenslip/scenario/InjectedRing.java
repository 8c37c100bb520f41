package martenslip.scenario;

import java.io.IOException;
import java.net.DatagramPacket;
import java.net.DatagramSocket;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import martenslip.control.Span;
import martenslip.sip.transport.Hop;

/** Sends a second INVITE for a contact from its controller's address, as a faulty controller would. */
final class InjectedRing {
    private InjectedRing() {}

    static void send(ThreeExchangeEnvironment environment, int exchange, Span patience) {
        Thread thread = new Thread(() -> {
            try {
                String[] sessionId = new String[1];
                ThreeExchangeEnvironment.await(
                        () -> (sessionId[0] = sessionId(environment)) != null, "the first ring captured");
                InetSocketAddress switchAddress = environment.switches.get(2).address(Hop.Protocol.UDP);
                try (DatagramSocket socket = new DatagramSocket(
                        new InetSocketAddress(ThreeExchangeEnvironment.loopbackAddress(1, 100 + exchange), 0))) {
                    byte[] bytes = ("INVITE sip:+77020001;tgrp=g-0-2;trunk-context=t.example@"
                                    + switchAddress.getHostString()
                                    + ":"
                                    + switchAddress.getPort() + " SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.1.100:"
                                    + socket.getLocalPort()
                                    + ";branch=z9hG4bKinjected\r\nFrom: <sip:x@h>;tag=p\r\nTo: <sip:y@h>\r\nCall-ID: injected\r\n"
                                    + "CSeq: 1 INVITE\r\nMax-Forwards: 70\r\nContact: <sip:x@127.0.0.1:9>\r\nSession-ID: "
                                    + sessionId[0] + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
                    socket.send(new DatagramPacket(bytes, bytes.length, switchAddress));
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static String sessionId(ThreeExchangeEnvironment environment) {
        try {
            // The capture is written in blocks; the annotations fill the block with the ring, so that it is written.
            for (int i = 0; i < 400; i++) {
                environment.capture.annotation("filler", "words=" + "x".repeat(3000));
            }
            String text = Files.readString(environment.folder.resolve("capture"), StandardCharsets.ISO_8859_1);
            Matcher matcher = Pattern.compile("Session-ID: ([^\r\n]+)").matcher(text);
            return matcher.find() ? matcher.group(1) : null;
        } catch (IOException e) {
            return null;
        }
    }
}
