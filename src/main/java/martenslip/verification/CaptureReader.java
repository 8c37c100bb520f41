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

/** Reads a capture record by record. */
public final class CaptureReader {
    /** Takes what a capture holds, in the order of the file. */
    public interface RecordHandler {
        /** {@code in} is toward the stand-in; {@code remote} is the bare address of the far host. */
        void message(Moment at, boolean in, String local, String remote, boolean lost, Message message);

        void annotation(Moment at, String kind, Map<String, String> words);
    }

    private CaptureReader() {}

    public static void read(Path file, RecordHandler reader) throws IOException {
        try (InputStream in = new BufferedInputStream(Files.newInputStream(file), 1 << 20)) {
            for (String line = line(in); line != null; line = line(in)) {
                record(in, line, reader);
            }
        }
    }

    private static void record(InputStream in, String line, RecordHandler reader) throws IOException {
        String[] words = line.split(" ");
        if (words.length < 3) {
            throw new IOException("not a record of a capture: " + line);
        }
        Moment at = new Moment(Long.parseLong(words[1]));
        if (words[0].equals("!")) {
            Map<String, String> said = new HashMap<>();
            for (int i = 3; i < words.length; i++) {
                int equals = words[i].indexOf('=');
                said.put(words[i].substring(0, Math.max(0, equals)), words[i].substring(equals + 1));
            }
            reader.annotation(at, words[2], said);
            return;
        }
        if (!words[0].equals("@") || words.length != 7) {
            throw new IOException("not a record of a capture: " + line);
        }
        byte[] bytes = in.readNBytes(Integer.parseInt(words[6]));
        if (bytes.length < Integer.parseInt(words[6]) || in.read() < 0) {
            throw new EOFException("the capture ends inside a message");
        }
        ParseResult parsed = MessageParser.parse(bytes, bytes.length);
        if (parsed.message() != null) {
            String[] far = words[4].split(":");
            reader.message(at, words[2].equals("in"), words[3], far[1], words[5].equals("lost"), parsed.message());
        }
    }

    private static String line(InputStream in) throws IOException {
        StringBuilder text = new StringBuilder(80);
        int next = in.read();
        if (next < 0) {
            return null;
        }
        for (; next >= 0 && next != '\n'; next = in.read()) {
            text.append((char) next);
        }
        return new String(text.toString().getBytes(StandardCharsets.ISO_8859_1), StandardCharsets.UTF_8);
    }
}
