package martenslip.verification;

import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.Map;
import martenslip.control.Moment;
import martenslip.sip.message.Message;
import martenslip.sip.message.MessageParser;
import martenslip.sip.message.ParseResult;

/** Reads a capture file record by record; CaptureWriter of the stand-ins writes it. */
public final class CaptureReader {
    /** Receives the records of a capture in the order of the file. */
    public interface RecordHandler {
        /**
         * A captured message.
         *
         * @param inbound true where it was sent to the stand-in
         * @param local name of the stand-in's link
         * @param remote IP address of the other side, without port
         * @param lost true where the simulated network dropped it
         */
        void message(Moment time, boolean inbound, String local, String remote, boolean lost, Message message);

        /** An annotation with its kind and its {@code name=value} attributes. */
        void annotation(Moment time, String kind, Map<String, String> attributes);
    }

    private CaptureReader() {}

    /** Reads the whole file; fails with IOException where a record is malformed or cut short. */
    public static void read(Path file, RecordHandler handler) throws IOException {
        try (InputStream input = new BufferedInputStream(Files.newInputStream(file), 1 << 20)) {
            for (String line = readLine(input); line != null; line = readLine(input)) {
                readRecord(input, line, handler);
            }
        }
    }

    private static void readRecord(InputStream input, String line, RecordHandler handler) throws IOException {
        String[] fields = line.split(" ");
        if (fields.length < 3) {
            throw new IOException("not a record of a capture: " + line);
        }
        Moment time = new Moment(Long.parseLong(fields[1]));
        if (fields[0].equals("!")) {
            Map<String, String> attributes = new HashMap<>();
            for (int i = 3; i < fields.length; i++) {
                int separator = fields[i].indexOf('=');
                attributes.put(fields[i].substring(0, Math.max(0, separator)), fields[i].substring(separator + 1));
            }
            handler.annotation(time, fields[2], attributes);
            return;
        }
        if (!fields[0].equals("@") || fields.length != 7) {
            throw new IOException("not a record of a capture: " + line);
        }
        byte[] bytes = input.readNBytes(Integer.parseInt(fields[6]));
        if (bytes.length < Integer.parseInt(fields[6]) || input.read() < 0) {
            throw new EOFException("the capture ends inside a message");
        }
        ParseResult parsed = MessageParser.parse(bytes, bytes.length);
        if (parsed.message() != null) {
            String[] remoteParts = fields[4].split(":");
            handler.message(
                    time,
                    fields[2].equals("in"),
                    fields[3],
                    remoteParts[1],
                    fields[5].equals("lost"),
                    parsed.message());
        }
    }

    private static String readLine(InputStream input) throws IOException {
        StringBuilder text = new StringBuilder(80);
        int next = input.read();
        if (next < 0) {
            return null;
        }
        for (; next >= 0 && next != '\n'; next = input.read()) {
            text.append((char) next);
        }
        return new String(text.toString().getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }
}
