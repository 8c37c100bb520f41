package martenslip.signaling;

/** Header fields of the project's own, beside those of the RFCs. */
public final class ExtensionHeaders {
    /** What the caller has left, in milliseconds; Expires has whole seconds only. */
    public static final String PATIENCE = "Martenslip-Patience";
    /** {@code redial} or {@code cut} on a try that follows another. */
    public static final String RETRY_KIND = "Martenslip-Again";

    private ExtensionHeaders() {}
}
