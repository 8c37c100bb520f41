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

/** A second INVITE for a contact, from its controller's address, as a broken controller would send it. */
final class InjectedRing {
    private InjectedRing() {}

    static void send(ThreeExchangeEnvironment world, int exchange, Span patience) {
        Thread thread = new Thread(() -> {
            try {
                String[] session = new String[1];
                ThreeExchangeEnvironment.await(() -> (session[0] = session(world)) != null, "the first ring captured");
                InetSocketAddress to = world.machines.get(2).address(Hop.Protocol.UDP);
                try (DatagramSocket from = new DatagramSocket(
                        new InetSocketAddress(ThreeExchangeEnvironment.address(1, 100 + exchange), 0))) {
                    byte[] bytes = ("INVITE sip:+77020001;tgrp=g-0-2;trunk-context=t.example@" + to.getHostString()
                                    + ":"
                                    + to.getPort() + " SIP/2.0\r\nVia: SIP/2.0/UDP 127.0.1.100:" + from.getLocalPort()
                                    + ";branch=z9hG4bKplanted\r\nFrom: <sip:x@h>;tag=p\r\nTo: <sip:y@h>\r\nCall-ID: planted\r\n"
                                    + "CSeq: 1 INVITE\r\nMax-Forwards: 70\r\nContact: <sip:x@127.0.0.1:9>\r\nSession-ID: "
                                    + session[0] + "\r\n\r\n")
                            .getBytes(StandardCharsets.US_ASCII);
                    from.send(new DatagramPacket(bytes, bytes.length, to));
                }
            } catch (IOException e) {
                throw new IllegalStateException(e);
            }
        });
        thread.setDaemon(true);
        thread.start();
    }

    private static String session(ThreeExchangeEnvironment world) {
        try {
            // The capture is written in blocks; facts fill the block that holds the ring.
            for (int i = 0; i < 400; i++) {
                world.capture.annotation("filler", "words=" + "x".repeat(3000));
            }
            String text = Files.readString(world.folder.resolve("capture"), StandardCharsets.ISO_8859_1);
            Matcher matcher = Pattern.compile("Session-ID: ([^\r\n]+)").matcher(text);
            return matcher.find() ? matcher.group(1) : null;
        } catch (IOException e) {
            return null;
        }
    }
}
