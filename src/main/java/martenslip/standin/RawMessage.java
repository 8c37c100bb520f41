package martenslip.standin;

import java.nio.charset.StandardCharsets;

/** Header lines of a message as they stand, for stand-ins that must cost little: they read only what they answer. */
final class RawMessage {
    private final String text;

    RawMessage(byte[] bytes, int length) {
        text = new String(bytes, 0, length, StandardCharsets.ISO_8859_1);
    }

    boolean isResponse() {
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
    String headerValue(String name) {
        int lineStart = text.indexOf("\r\n" + name + ": ");
        if (lineStart < 0) {
            return "";
        }
        int valueStart = lineStart + name.length() + 4;
        return text.substring(valueStart, text.indexOf('\r', valueStart));
    }

    /** What stands between two marks, or an empty text. */
    static String between(String source, String prefix, String suffix) {
        int start = source.indexOf(prefix);
        if (start < 0) {
            return "";
        }
        start += prefix.length();
        int end = source.indexOf(suffix, start);
        return source.substring(start, end < 0 ? source.length() : end);
    }

    /** A response with the lines that each must repeat. */
    String createResponse(String status, String tag, String extraHeaders) {
        String to = headerValue("To");
        return "SIP/2.0 " + status + "\r\nVia: " + headerValue("Via") + "\r\nFrom: " + headerValue("From") + "\r\nTo: "
                + to
                + (to.contains("tag=") ? "" : ";tag=" + tag) + "\r\nCall-ID: " + headerValue("Call-ID") + "\r\nCSeq: "
                + headerValue("CSeq") + "\r\n" + extraHeaders + "Content-Length: 0\r\n\r\n";
    }
}
