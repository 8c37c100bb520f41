package martenslip.sip.transport;

/** Receives transport events. Called by several reading threads at a time. */
public interface TransportEventSink {
    /** Takes the event at once, or returns false if there is no room: a datagram is then lost, as on a network. */
    boolean offer(TransportEvent event);

    /** Waits for room: a connection whose reader waits here is not read further. */
    void put(TransportEvent event) throws InterruptedException;
}
