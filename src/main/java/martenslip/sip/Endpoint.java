package martenslip.sip;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import martenslip.control.Moment;
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
import martenslip.wheel.Wheel;

/**
 * Sockets with one thread that owns all transactions, dialogs, timers and their user. It reads the clock once for
 * each batch of arrivals. A full inbox loses datagrams, as their senders repeat them, and holds connections up.
 */
public final class Endpoint implements AutoCloseable {
    private static final int INBOX = 16_384;
    private static final int BATCH = 256;
    private static final int STACK = 1 << 20;
    /** With thousands of timers one is due in every tick; without arrivals they wait this long for each other. */
    private static final long REST = 2_000_000;

    /** Sees a message before the transactions do; true where it dealt with it, as a stateless proxy does. */
    public interface First {
        boolean takes(Message message, Hop from);
    }

    private final String name;
    private final ArrayBlockingQueue<Object> inbox = new ArrayBlockingQueue<>(INBOX);
    private final Transport transport;
    private final Wheel wheel = new Wheel(new Moment(System.nanoTime()));
    private final Consumer<Throwable> faults;
    private final Thread thread;
    private Calls calls;
    private First first = (message, from) -> false;
    private Runnable after = () -> { };
    private volatile boolean closing;

    public Endpoint(String name, Bounds bounds, Gate gate, Consumer<Throwable> faults) {
        this.name = name;
        this.faults = faults;
        transport = new Transport(name, bounds, new Sink() {
            @Override
            public boolean offer(Arrival arrival) {
                return inbox.offer(arrival);
            }

            @Override
            public void put(Arrival arrival) throws InterruptedException {
                while (!closing && !inbox.offer(arrival, 100, TimeUnit.MILLISECONDS)) {
                    transport().drops().count("waited for the inbox");
                }
            }
        }, gate);
        thread = new Thread(null, this::work, name, STACK);
    }

    public Transport transport() {
        return transport;
    }

    public Drops drops() {
        return transport.drops();
    }

    public Wheel wheel() {
        return wheel;
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
        calls = new Calls(wheel, timers, outlet(), new Branches(seed), user, drops(), most);
        thread.start();
    }

    private Outlet outlet() {
        return new Outlet() {
            @Override
            public boolean send(byte[] bytes, Hop to) {
                return transport.send(bytes, to);
            }

            @Override
            public String sentBy(Hop.Kind kind) {
                // Without a listener of its own a connection's peer answers over the connection.
                boolean own = transport.has(kind);
                Hop.Kind named = own ? kind : kind == Hop.Kind.UDP ? Hop.Kind.TCP : Hop.Kind.UDP;
                return transport.host() + ":" + transport.port(named);
            }
        };
    }

    /** Runs on the endpoint's thread in its next turn; waits while the inbox is full. Any other thread. */
    public void run(Runnable what) {
        try {
            while (!closing && !inbox.offer(what, 100, TimeUnit.MILLISECONDS)) {
                drops().count("waited for the inbox");
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private void work() {
        while (!closing) {
            try {
                Object next = inbox.poll(Math.max(REST, wheel.quiet().ns()), TimeUnit.NANOSECONDS);
                Moment now = new Moment(System.nanoTime());
                guarded(() -> wheel.turn(now));
                for (int done = 0; next != null && done < BATCH; done++) {
                    take(next);
                    next = done + 1 < BATCH ? inbox.poll() : null;
                }
                guarded(after);
            } catch (InterruptedException e) {
                return;
            }
        }
    }

    private void take(Object next) {
        guarded(() -> {
            if (next instanceof Runnable what) {
                what.run();
            } else if (next instanceof Arrival.Received received
                    && first.takes(received.message(), received.from())) {
                return;
            } else if (next instanceof Arrival arrival) {
                calls.transactions().arrived(arrival);
            }
        });
    }

    /** Nothing that arrives ends the thread: the fault is told and the next one is taken. */
    private void guarded(Runnable what) {
        try {
            what.run();
        } catch (RuntimeException | StackOverflowError e) {
            drops().count("fault");
            faults.accept(e);
        }
    }

    public String name() {
        return name;
    }

    @Override
    public void close() {
        closing = true;
        transport.close();
        thread.interrupt();
    }
}
