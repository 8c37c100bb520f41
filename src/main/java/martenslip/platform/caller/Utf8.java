package martenslip.platform.caller;

import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;

/** Bytes that can go through JSON and come back the same. */
final class Utf8 {
    private Utf8() {}

    /** Null where the bytes are no text: JSON could not carry them unchanged. */
    static String text(byte[] bytes) {
        for (byte one : bytes) {
            if (one < 0) {
                return decoded(bytes);
            }
        }
        return new String(bytes, StandardCharsets.ISO_8859_1);
    }

    private static String decoded(byte[] bytes) {
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
