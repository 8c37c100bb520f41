package martenslip.platform.contact;

import martenslip.sip.message.Request;

/** Estimates what a request occupies on the heap, with what is made of it until it has been handled. */
public final class RequestMemory {
    private static final int OBJECT_BYTES = 600;
    private static final int HEADER_BYTES = 150;
    /** The text of the headers as strings, its body as bytes, as the description's text and as the line to a switch. */
    private static final int BODY_COPIES = 3;

    private RequestMemory() {}

    /** The estimate in bytes. */
    public static long of(Request request) {
        return OBJECT_BYTES
                + (long) HEADER_BYTES * request.headers().count()
                + request.headers().textLength()
                + (long) BODY_COPIES * request.body().length;
    }
}
