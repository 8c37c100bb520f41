package martenslip.signaling;

/** Names of the header fields that this project adds to those of the RFCs. */
public final class ExtensionHeaders {
    /** Time that the caller still waits, in milliseconds; Expires has whole seconds only. */
    public static final String PATIENCE = "Martenslip-Patience";
    /** {@code redial} or {@code cut} on an attempt that follows another one. */
    public static final String RETRY_KIND = "Martenslip-Again";

    private ExtensionHeaders() {}
}
