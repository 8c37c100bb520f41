package martenslip.standin;

import java.nio.charset.StandardCharsets;

/** An unparsed SIP message, for lightweight stand-ins that read only the headers they need. */
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

    /** The text up to the first blank. */
    String method() {
        return text.substring(0, text.indexOf(' '));
    }

    String startLine() {
        return text.substring(0, text.indexOf('\r'));
    }

    /** The value of the first header of that name, or an empty string. */
    String headerValue(String name) {
        int lineStart = text.indexOf("\r\n" + name + ": ");
        if (lineStart < 0) {
            return "";
        }
        int valueStart = lineStart + name.length() + 4;
        return text.substring(valueStart, text.indexOf('\r', valueStart));
    }

    /** The text between the prefix and the suffix, or an empty string. */
    static String between(String source, String prefix, String suffix) {
        int start = source.indexOf(prefix);
        if (start < 0) {
            return "";
        }
        start += prefix.length();
        int end = source.indexOf(suffix, start);
        return source.substring(start, end < 0 ? source.length() : end);
    }

    /** A response with the headers copied from the request (RFC 3261 8.2.6.2); {@code extraHeaders} end with CRLF. */
    String createResponse(String status, String tag, String extraHeaders) {
        String to = headerValue("To");
        return "SIP/2.0 " + status + "\r\nVia: " + headerValue("Via") + "\r\nFrom: " + headerValue("From") + "\r\nTo: "
                + to
                + (to.contains("tag=") ? "" : ";tag=" + tag) + "\r\nCall-ID: " + headerValue("Call-ID") + "\r\nCSeq: "
                + headerValue("CSeq") + "\r\n" + extraHeaders + "Content-Length: 0\r\n\r\n";
    }
}
