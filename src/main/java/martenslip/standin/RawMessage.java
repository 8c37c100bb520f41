package martenslip.standin;

import java.nio.charset.StandardCharsets;

/** Header lines of a message as they stand, for stand-ins that must cost little: they read only what they answer. */
final class RawMessage {
    private final String text;

    RawMessage(byte[] bytes, int length) {
        text = new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
    }

    boolean response() {
        return text.startsWith("SIP/2.0 ");
    }

    int status() {
        return Integer.parseInt(text.substring(8, 11));
    }

    /** Up to the first blank. */
    String method() {
        return text.substring(0, text.indexOf(' '));
    }

    String startLine() {
        return text.substring(0, text.indexOf('\r'));
    }

    /** The value of the first line of the name, or an empty text. */
    String value(String name) {
        int at = text.indexOf("\r\n" + name + ": ");
        if (at < 0) {
            return "";
        }
        int from = at + name.length() + 4;
        return text.substring(from, text.indexOf('\r', from));
    }

    /** What stands between two marks, or an empty text. */
    static String between(String in, String before, String after) {
        int from = in.indexOf(before);
        if (from < 0) {
            return "";
        }
        from += before.length();
        int to = in.indexOf(after, from);
        return in.substring(from, to < 0 ? in.length() : to);
    }

    /** A response with the lines that each must repeat. */
    String answer(String status, String tag, String more) {
        String to = value("To");
        return "SIP/2.0 " + status + "\r\nVia: " + value("Via") + "\r\nFrom: " + value("From") + "\r\nTo: " + to
                + (to.contains("tag=") ? "" : ";tag=" + tag) + "\r\nCall-ID: " + value("Call-ID") + "\r\nCSeq: "
                + value("CSeq") + "\r\n" + more + "Content-Length: 0\r\n\r\n";
    }
}
