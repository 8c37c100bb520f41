package martenslip.sip.transport;

/** Splits the bytes of a connection into messages; bytes are read directly into its buffer. Used by one thread. */
public interface StreamFramer {
    /** The stream cannot be split any further. */
    final class FramingException extends Exception {
        private static final long serialVersionUID = 1L;

        /** Creates the exception without a stack trace, as peers can cause it at any rate. */
        public FramingException(String message) {
            super(message, null, false, false);
        }
    }

    /** Buffer to read into from {@link #position} on; it has room for at least one byte. */
    byte[] buffer();

    /** Index in {@link #buffer} at which the next bytes go. */
    int position();

    /** Adds this many bytes that were read into {@link #buffer}. */
    void advance(int bytes);

    /** True while a message has begun and not ended. */
    boolean hasPartialMessage();

    /** The next whole message, or null if more bytes are needed. */
    byte[] nextMessage() throws FramingException;

    /** True if the initial buffer is full, so that {@link #buffer} is going to allocate a larger one. */
    boolean needsLargeBuffer();

    /** True while the buffer is larger than the initial one. */
    boolean hasLargeBuffer();

    /** The size of the largest buffer. */
    int maxBufferBytes();

    /** Returns to a buffer of the initial size if what it holds fits. */
    void shrinkBuffer();
}
