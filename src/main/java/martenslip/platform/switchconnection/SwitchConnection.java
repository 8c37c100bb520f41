package martenslip.platform.switchconnection;

import java.util.concurrent.atomic.AtomicReference;
import martenslip.control.Moment;
import martenslip.liveness.ConnectionMonitor;
import martenslip.sip.transport.Connection;

/** One connection to a switch. Belongs to the decision thread but for the fields that are marked otherwise. */
final class SwitchConnection {
    final Connection transportConnection;
    final SwitchEndpoint endpoint;
    /** Opened only to check that the switch is alive; retired some time after it is established. */
    boolean probe;
    /** This side of the stream has ended; what the switch still sends is handled. */
    boolean retiring;

    boolean established;
    Moment establishedAt;
    /** Rank among the connections to all switches in the order in which they were established; 0 before. */
    long number;

    /** The connection whose LOAD messages count; read by the reading threads. */
    volatile boolean primary;
    /** The newest LOAD that was read and not yet handled, or that is kept while another connection is primary. */
    final AtomicReference<byte[]> latestLoad = new AtomicReference<>();

    /** Written by the reading thread; 0 until something was read. */
    volatile long lastReadNs;
    /** When the last LOAD was read, written by the reading thread; 0 until then. */
    volatile long lastLoadNs;

    /** Tests sent and not answered; each is answered in its turn. */
    int unansweredTests;

    final ConnectionMonitor monitor = new ConnectionMonitor();

    SwitchConnection(Connection transportConnection, SwitchEndpoint endpoint) {
        this.transportConnection = transportConnection;
        this.endpoint = endpoint;
    }

    /** When the connection was established or last brought something. */
    Moment lastSignal() {
        Moment lastRead = new Moment(lastReadNs);
        return lastReadNs == 0 || lastRead.before(establishedAt) ? establishedAt : lastRead;
    }

    /** Whether set-ups and other messages can be sent on it. */
    boolean isUsable() {
        return established && !retiring;
    }
}
