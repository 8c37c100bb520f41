package martenslip.platform.switchconnection;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import martenslip.platform.json.Json;

/**
 * One JSON line to or from a switch.
 *
 * @param verb type of the message
 * @param tag id of the contact
 * @param load load report, the field {@code load} of {@code opts}, or null
 * @param note the field {@code note} of {@code opts}, or null
 * @param cause the field {@code rc}
 * @param description the field {@code blob}, or null
 */
record SwitchMessage(String verb, String tag, String load, String note, int cause, String description) {
    /** Upper bound for a START line without its description; skill names are short. */
    static final int MAX_START_BYTES_WITHOUT_DESCRIPTION = 256;

    /** A test concerns no contact, but a tag always has 16 hex digits. */
    private static final String TEST_TAG = "0000000000000000";

    private static final byte[] LOAD_VERB = "\"LOAD\"".getBytes(java.nio.charset.StandardCharsets.US_ASCII);

    /** Whether the line is a LOAD: quotes inside strings are escaped, so the quoted word can only be the verb. */
    static boolean isLoadReport(byte[] message) {
        for (int i = message.length - LOAD_VERB.length; i >= 0; i--) {
            if (java.util.Arrays.equals(message, i, i + LOAD_VERB.length, LOAD_VERB, 0, LOAD_VERB.length)) {
                return true;
            }
        }
        return false;
    }

    /** Parses a line; unknown fields are skipped. */
    static SwitchMessage parse(byte[] message) throws IOException {
        String verb = null;
        String tag = "";
        String[] loadAndNote = new String[2];
        int cause = 0;
        String description = null;
        try (JsonParser parser = Json.FACTORY.createParser(message)) {
            if (parser.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("message is not a JSON object");
            }
            while (parser.nextToken() == JsonToken.FIELD_NAME) {
                String name = parser.currentName();
                JsonToken value = parser.nextToken();
                switch (name) {
                    case "verb" -> verb = parseString(parser, value);
                    case "tag" -> tag = parseString(parser, value);
                    case "blob" -> description = parseString(parser, value);
                    case "rc" -> cause = (int) parser.getValueAsLong(-1);
                    case "opts" -> parseOptions(parser, value, loadAndNote);
                    default -> parser.skipChildren();
                }
            }
            if (parser.currentToken() != JsonToken.END_OBJECT || parser.nextToken() != null || verb == null) {
                throw new IOException("message is not one complete JSON object with a verb");
            }
        }
        return new SwitchMessage(verb, tag, loadAndNote[0], loadAndNote[1], cause, description);
    }

    private static String parseString(JsonParser parser, JsonToken value) throws IOException {
        if (value != JsonToken.VALUE_STRING) {
            throw new IOException("field is not a string");
        }
        return parser.getText();
    }

    /** Sets load and note from the fields of {@code opts}. */
    private static void parseOptions(JsonParser parser, JsonToken value, String[] loadAndNote) throws IOException {
        if (value != JsonToken.START_OBJECT) {
            throw new IOException("opts is not a JSON object");
        }
        while (parser.nextToken() == JsonToken.FIELD_NAME) {
            String name = parser.currentName();
            parser.nextToken();
            switch (name) {
                case "load" -> loadAndNote[0] = parser.getText();
                case "note" -> loadAndNote[1] = parser.getText();
                default -> parser.skipChildren();
            }
        }
    }

    static byte[] encodeStart(String tag, String skill, long remainingMs, String calledNumber, String description) {
        return encode(
                "START",
                tag,
                generator -> {
                    generator.writeStringField("class", skill);
                    generator.writeStringField("key", calledNumber);
                    generator.writeStringField("left", Long.toString(remainingMs));
                },
                generator -> generator.writeStringField("blob", description));
    }

    static byte[] encodeFinish(String tag, int cause) {
        return encode("FINISH", tag, generator -> {}, generator -> generator.writeNumberField("rc", cause));
    }

    static byte[] encodeFinished(String tag) {
        return encode("FINISHED", tag, generator -> {}, generator -> {});
    }

    /** A test of the connection; the switch answers with ECHOED. */
    static byte[] encodeEcho() {
        return encode("ECHO", TEST_TAG, generator -> {}, generator -> generator.writeNumberField("rc", 0));
    }

    private interface JsonPart {
        void write(JsonGenerator generator) throws IOException;
    }

    private static byte[] encode(String verb, String tag, JsonPart options, JsonPart remainder) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator generator = Json.FACTORY.createGenerator(bytes)) {
            generator.writeStartObject();
            generator.writeStringField("verb", verb);
            generator.writeStringField("tag", tag);
            generator.writeObjectFieldStart("opts");
            options.write(generator);
            generator.writeEndObject();
            remainder.write(generator);
            generator.writeEndObject();
            generator.writeRaw('\n');
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
