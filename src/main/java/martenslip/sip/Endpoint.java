package martenslip.sip;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import martenslip.sip.dialog.CallUser;
import martenslip.sip.dialog.Calls;
import martenslip.sip.message.Message;
import martenslip.sip.transaction.Branches;
import martenslip.sip.transaction.Outlet;
import martenslip.sip.transaction.Timers;
import martenslip.sip.transport.Arrival;
import martenslip.sip.transport.Bounds;
import martenslip.sip.transport.Drops;
import martenslip.sip.transport.Gate;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.Sink;
import martenslip.sip.transport.Transport;
import martenslip.wheel.EventLoop;
import martenslip.wheel.Wheel;

/**
 * Sockets with one thread that owns all transactions, dialogs, timers and their user. It reads the clock once for
 * each batch of arrivals. A full inbox loses datagrams, as their senders repeat them, and holds connections up.
 */
public final class Endpoint implements AutoCloseable {
    private static final int INBOX = 16_384;

    /** Sees a message before the transactions do; true where it dealt with it, as a stateless proxy does. */
    public interface First {
        boolean takes(Message message, Hop from);
    }

    private final EventLoop loop;
    private final Transport transport;
    private final Consumer<Throwable> faults;
    private Calls calls;
    private First first = (message, from) -> false;
    private Runnable after = () -> {};

    public Endpoint(String name, Bounds bounds, Gate gate, Consumer<Throwable> faults) {
        this.faults = faults;
        loop = new EventLoop(name, INBOX);
        transport = new Transport(
                name,
                bounds,
                new Sink() {
                    @Override
                    public boolean offer(Arrival arrival) {
                        return loop.offer(arrival);
                    }

                    @Override
                    public void put(Arrival arrival) throws InterruptedException {
                        loop.put(arrival, () -> drops().count("waited for the inbox"));
                    }
                },
                gate);
    }

    public Transport transport() {
        return transport;
    }

    public Drops drops() {
        return transport.drops();
    }

    public Wheel wheel() {
        return loop.wheel();
    }

    public Calls calls() {
        return calls;
    }

    /** Opens the sockets; each may be null. Ports are told by {@link Transport#port}. */
    public void open(InetSocketAddress udp, InetSocketAddress tcp) throws IOException {
        if (udp != null) {
            transport.openUdp(udp);
        }
        if (tcp != null) {
            transport.openTcp(tcp);
        }
    }

    /** Starts the thread. {@code after} runs at the end of each turn. Once, after {@link #open}. */
    public void start(CallUser user, First before, Runnable afterTurn, Timers timers, long seed, int most) {
        first = before;
        after = afterTurn;
        calls = new Calls(loop.wheel(), timers, outlet(), new Branches(seed), user, drops(), most);
        loop.start(duty(), () -> {});
    }

    private Outlet outlet() {
        return new Outlet() {
            @Override
            public boolean send(byte[] bytes, Hop to) {
                return transport.send(bytes, to);
            }

            @Override
            public String sentBy(Hop.Kind kind) {
                return transport.sentBy(kind);
            }
        };
    }

    /** Runs on the endpoint's thread in its next turn; waits while the inbox is full. Any other thread. */
    public void run(Runnable what) {
        try {
            loop.put(what, () -> drops().count("waited for the inbox"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private EventLoop.Duty duty() {
        return new EventLoop.Duty() {
            @Override
            public void take(Object next) {
                boolean taken =
                        next instanceof Arrival.Received received && first.takes(received.message(), received.from());
                if (!taken && next instanceof Arrival arrival) {
                    calls.transactions().arrived(arrival);
                }
            }

            @Override
            public void after() {
                after.run();
            }

            @Override
            public void fault(Throwable fault) {
                drops().count("fault");
                faults.accept(fault);
            }
        };
    }

    @Override
    public void close() {
        transport.close();
        loop.close();
    }
}
