package martenslip.sip.transport;

/** Takes what arrives. Called by reading threads, several at a time. */
public interface TransportEventSink {
    /** Takes it at once, or says no where there is no room: a datagram is then lost, as a network would do it. */
    boolean offer(TransportEvent arrival);

    /** Waits for room: a connection whose reader waits here is not read further. */
    void put(TransportEvent arrival) throws InterruptedException;
}
