package martenslip.platform.caller;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Decodes bytes that JSON can carry unchanged. */
final class Utf8 {
    private Utf8() {}

    /** Returns null if the bytes are not valid UTF-8: JSON could not carry them unchanged. */
    static String decode(byte[] bytes) {
        for (byte value : bytes) {
            if (value < 0) {
                return decodeUtf8(bytes);
            }
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private static String decodeUtf8(byte[] bytes) {
        try {
            return StandardCharsets.UTF_8
                    .newDecoder()
                    .decode(ByteBuffer.wrap(bytes))
                    .toString();
        } catch (CharacterCodingException e) {
            return null;
        }
    }
}
