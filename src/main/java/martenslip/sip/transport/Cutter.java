package martenslip.sip.transport;

/** Cuts what a connection brings into messages; bytes are read straight into its room. One thread uses it. */
public interface Cutter {
    /** A stream that can't be cut any further. */
    final class Lost extends Exception {
        private static final long serialVersionUID = 1L;

        public Lost(String what) {
            super(what, null, false, false);
        }
    }

    /** Room to read into from {@link #at} on; at least one byte. */
    byte[] room();

    int at();

    void took(int bytes);

    /** True while a message has begun and not ended. */
    boolean amid();

    /** The next whole message, or null where more must be read. */
    byte[] next() throws Lost;
}
