package martenslip.platform.switchconnection;

import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import martenslip.platform.json.Json;

/** One line of a switch: the type, the id, what it carries of the fields that count here, cause and description. */
record SwitchMessage(String verb, String tag, String load, String note, int cause, String description) {
    /** All of a set-up toward a switch but its description: names of classes are short. */
    static final int STARTS_AT_MOST = 256;

    private static final byte[] STATE = "\"LOAD\"".getBytes(java.nio.charset.StandardCharsets.US_ASCII);

    /** True where the type can only be the state of a group: a quote in a text is written with a stroke before it. */
    static boolean state(byte[] line) {
        for (int i = line.length - STATE.length; i >= 0; i--) {
            if (java.util.Arrays.equals(line, i, i + STATE.length, STATE, 0, STATE.length)) {
                return true;
            }
        }
        return false;
    }

    static SwitchMessage read(byte[] line) throws IOException {
        String verb = null;
        String tag = "";
        String[] fields = new String[2];
        int cause = 0;
        String description = null;
        try (JsonParser in = Json.FACTORY.createParser(line)) {
            if (in.nextToken() != JsonToken.START_OBJECT) {
                throw new IOException("no object");
            }
            while (in.nextToken() == JsonToken.FIELD_NAME) {
                String name = in.currentName();
                JsonToken value = in.nextToken();
                switch (name) {
                    case "verb" -> verb = text(in, value);
                    case "tag" -> tag = text(in, value);
                    case "blob" -> description = text(in, value);
                    case "rc" -> cause = (int) in.getValueAsLong(-1);
                    case "opts" -> fields(in, value, fields);
                    default -> in.skipChildren();
                }
            }
            if (in.currentToken() != JsonToken.END_OBJECT || in.nextToken() != null || verb == null) {
                throw new IOException("no whole object");
            }
        }
        return new SwitchMessage(verb, tag, fields[0], fields[1], cause, description);
    }

    private static String text(JsonParser in, JsonToken value) throws IOException {
        if (value != JsonToken.VALUE_STRING) {
            throw new IOException("no text where one stands");
        }
        return in.getText();
    }

    private static void fields(JsonParser in, JsonToken value, String[] fields) throws IOException {
        if (value != JsonToken.START_OBJECT) {
            throw new IOException("fields are no object");
        }
        while (in.nextToken() == JsonToken.FIELD_NAME) {
            String name = in.currentName();
            in.nextToken();
            switch (name) {
                case "load" -> fields[0] = in.getText();
                case "note" -> fields[1] = in.getText();
                default -> in.skipChildren();
            }
        }
    }

    static byte[] start(String tag, String skill, long leftMs, String key, String description) {
        return line(
                "START",
                tag,
                out -> {
                    out.writeStringField("class", skill);
                    out.writeStringField("key", key);
                    out.writeStringField("left", Long.toString(leftMs));
                },
                out -> out.writeStringField("blob", description));
    }

    static byte[] finish(String tag, int cause) {
        return line("FINISH", tag, out -> {}, out -> out.writeNumberField("rc", cause));
    }

    static byte[] finished(String tag) {
        return line("FINISHED", tag, out -> {}, out -> {});
    }

    private interface JsonPart {
        void write(JsonGenerator out) throws IOException;
    }

    private static byte[] line(String verb, String tag, JsonPart fields, JsonPart rest) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream(256);
        try (JsonGenerator out = Json.FACTORY.createGenerator(bytes)) {
            out.writeStartObject();
            out.writeStringField("verb", verb);
            out.writeStringField("tag", tag);
            out.writeObjectFieldStart("opts");
            fields.write(out);
            out.writeEndObject();
            rest.write(out);
            out.writeEndObject();
            out.writeRaw('\n');
        } catch (IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
