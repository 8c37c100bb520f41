package martenslip.sip;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import martenslip.eventloop.EventLoop;
import martenslip.eventloop.TimerWheel;
import martenslip.sip.dialog.DialogLayer;
import martenslip.sip.dialog.UserAgentCore;
import martenslip.sip.message.Message;
import martenslip.sip.transaction.IdGenerator;
import martenslip.sip.transaction.MessageSender;
import martenslip.sip.transaction.TransactionTimers;
import martenslip.sip.transport.DropCounter;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.MessageInterceptor;
import martenslip.sip.transport.Transport;
import martenslip.sip.transport.TransportEvent;
import martenslip.sip.transport.TransportEventSink;
import martenslip.sip.transport.TransportLimits;

/**
 * Sockets with one thread that owns all transactions, dialogs, timers and their user. It reads the clock once for
 * each batch of arrivals. A full inbox loses datagrams, as their senders repeat them, and holds connections up.
 */
public final class Endpoint implements AutoCloseable {
    private static final int INBOX = 16_384;

    /** Sees a message before the transactions do; true where it dealt with it, as a stateless proxy does. */
    public interface MessageFilter {
        boolean handles(Message message, Hop from);
    }

    private final EventLoop loop;
    private final Transport transport;
    private final Consumer<Throwable> faults;
    private DialogLayer dialogLayer;
    private MessageFilter first = (message, from) -> false;
    private Runnable after = () -> {};

    public Endpoint(String name, TransportLimits bounds, MessageInterceptor gate, Consumer<Throwable> faults) {
        this.faults = faults;
        loop = new EventLoop(name, INBOX);
        transport = new Transport(
                name,
                bounds,
                new TransportEventSink() {
                    @Override
                    public boolean offer(TransportEvent arrival) {
                        return loop.offer(arrival);
                    }

                    @Override
                    public void put(TransportEvent arrival) throws InterruptedException {
                        loop.put(arrival, () -> dropCounter().increment("waited for the inbox"));
                    }
                },
                gate);
    }

    public Transport transport() {
        return transport;
    }

    public DropCounter dropCounter() {
        return transport.dropCounter();
    }

    public TimerWheel timerWheel() {
        return loop.timerWheel();
    }

    public DialogLayer dialogLayer() {
        return dialogLayer;
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
    public void start(
            UserAgentCore user,
            MessageFilter before,
            Runnable afterTurn,
            TransactionTimers timers,
            long seed,
            int most) {
        first = before;
        after = afterTurn;
        dialogLayer =
                new DialogLayer(loop.timerWheel(), timers, outlet(), new IdGenerator(seed), user, dropCounter(), most);
        loop.start(duty(), () -> {});
    }

    private MessageSender outlet() {
        return new MessageSender() {
            @Override
            public boolean send(byte[] bytes, Hop to) {
                return transport.send(bytes, to);
            }

            @Override
            public String sentBy(Hop.Protocol kind) {
                return transport.sentBy(kind);
            }
        };
    }

    /** Runs on the endpoint's thread in its next turn; waits while the inbox is full. Any other thread. */
    public void execute(Runnable what) {
        try {
            loop.put(what, () -> dropCounter().increment("waited for the inbox"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private EventLoop.Handler duty() {
        return new EventLoop.Handler() {
            @Override
            public void handle(Object next) {
                boolean taken = next instanceof TransportEvent.MessageReceived received
                        && first.handles(received.message(), received.from());
                if (!taken && next instanceof TransportEvent arrival) {
                    dialogLayer.transactionLayer().handleEvent(arrival);
                }
            }

            @Override
            public void afterTurn() {
                after.run();
            }

            @Override
            public void onFailure(Throwable fault) {
                dropCounter().increment("fault");
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
