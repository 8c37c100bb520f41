package martenslip.platform.json;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parses JSON into maps, lists, strings, {@link JsonNumber}s and booleans, with limits on depth and length. */
public final class Json {
    private static final int MAX_DEPTH = 24;
    private static final int MAX_STRING_LENGTH = 1 << 16;
    private static final int MAX_NUMBER_LENGTH = 40;

    /** Creates parsers that apply these limits, and generators. */
    public static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MAX_DEPTH)
                    .maxStringLength(MAX_STRING_LENGTH)
                    .maxNumberLength(MAX_NUMBER_LENGTH)
                    .build())
            // Field names come from outside in unlimited variety; interned names would stay in memory.
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build();

    private Json() {}

    /**
     * Parses one value.
     *
     * @throws IOException if the bytes are not exactly one JSON value within the limits
     */
    public static Object parse(byte[] bytes) throws IOException {
        try (JsonParser parser = FACTORY.createParser(bytes)) {
            Object value = parseValue(parser, parser.nextToken());
            if (parser.nextToken() != null) {
                throw new IOException("unexpected content after the JSON value");
            }
            return value;
        }
    }

    private static Object parseValue(JsonParser parser, JsonToken token) throws IOException {
        if (token == null) {
            throw new IOException("JSON value is incomplete");
        }
        return switch (token) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (parser.nextToken() == JsonToken.FIELD_NAME) {
                    String name = parser.currentName();
                    map.put(name, parseValue(parser, parser.nextToken()));
                }
                yield map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                for (JsonToken next = parser.nextToken(); next != JsonToken.END_ARRAY; next = parser.nextToken()) {
                    list.add(parseValue(parser, next));
                }
                yield list;
            }
            case VALUE_STRING -> parser.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new JsonNumber(parser.getText());
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default ->
                throw new IOException("expected a JSON value at column "
                        + parser.currentLocation().getColumnNr());
        };
    }

    /**
     * Returns a parsed number.
     *
     * @param path where the value was read, named in the error message
     * @throws IOException if the value is missing or not a number
     */
    public static double number(Object value, String path) throws IOException {
        if (value instanceof JsonNumber number) {
            return number.value();
        }
        throw new IOException(path + " is missing or no number");
    }

    /** A number as written, so that the module's settings get the original text without rounding. */
    public record JsonNumber(String text) {
        /** Returns the nearest double. */
        public double value() {
            return Double.parseDouble(text);
        }

        @Override
        public String toString() {
            return text;
        }
    }
}
