package martenslip.sip.transport;

/** Cuts what a connection brings into messages; bytes are read straight into its room. One thread uses it. */
public interface StreamFramer {
    /** A stream that can't be cut any further. */
    final class FramingException extends Exception {
        private static final long serialVersionUID = 1L;

        public FramingException(String what) {
            super(what, null, false, false);
        }
    }

    /** Room to read into from {@link #position} on; at least one byte. */
    byte[] buffer();

    int position();

    void advance(int bytes);

    /** True while a message has begun and not ended. */
    boolean hasPartialMessage();

    /** The next whole message, or null where more must be read. */
    byte[] nextMessage() throws FramingException;
}
