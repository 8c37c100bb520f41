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

/** JSON into plain maps, lists, texts, numbers and truths, with bounds on depth and length. */
public final class Json {
    private static final int MOST_DEPTH = 24;
    public static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxNestingDepth(MOST_DEPTH)
                    .maxStringLength(1 << 16)
                    .maxNumberLength(40)
                    .build())
            // Names of fields come from outside without end; kept for good they would be growth.
            .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
            .build();

    private Json() {}

    /** One whole value and nothing after it. */
    public static Object read(byte[] bytes) throws IOException {
        try (JsonParser in = FACTORY.createParser(bytes)) {
            Object value = value(in, in.nextToken());
            if (in.nextToken() != null) {
                throw new IOException("more after the value");
            }
            return value;
        }
    }

    private static Object value(JsonParser in, JsonToken token) throws IOException {
        if (token == null) {
            throw new IOException("the value ends too soon");
        }
        return switch (token) {
            case START_OBJECT -> {
                Map<String, Object> map = new LinkedHashMap<>();
                while (in.nextToken() == JsonToken.FIELD_NAME) {
                    String name = in.currentName();
                    map.put(name, value(in, in.nextToken()));
                }
                yield map;
            }
            case START_ARRAY -> {
                List<Object> list = new ArrayList<>();
                for (JsonToken next = in.nextToken(); next != JsonToken.END_ARRAY; next = in.nextToken()) {
                    list.add(value(in, next));
                }
                yield list;
            }
            case VALUE_STRING -> in.getText();
            case VALUE_NUMBER_INT, VALUE_NUMBER_FLOAT -> new JsonNumber(in.getText());
            case VALUE_TRUE -> Boolean.TRUE;
            case VALUE_FALSE -> Boolean.FALSE;
            case VALUE_NULL -> null;
            default ->
                throw new IOException("no value at " + in.currentLocation().getColumnNr());
        };
    }

    /** The value where it is a number; else the message names its place. */
    public static double number(Object value, String where) throws IOException {
        if (value instanceof JsonNumber figure) {
            return figure.value();
        }
        throw new IOException(where + " is missing or no number");
    }

    /** A number as it was written, so that the module's settings get the text and lose nothing. */
    public record JsonNumber(String text) {
        public double value() {
            return Double.parseDouble(text);
        }

        @Override
        public String toString() {
            return text;
        }
    }
}
