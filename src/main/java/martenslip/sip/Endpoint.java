package martenslip.sip;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.function.Consumer;
import martenslip.control.Moment;
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
 * A SIP endpoint: sockets and one thread that owns all transactions, dialogs, timers and their transaction user.
 * The thread reads the clock once for each batch of events. When the inbox is full, datagrams are dropped, as their
 * senders retransmit them, and connections are not read further.
 */
public final class Endpoint implements AutoCloseable {
    private static final int INBOX_CAPACITY = 16_384;

    /** Sees each message before the transaction layer does. */
    public interface MessageFilter {
        /**
         * Returns true if the filter has dealt with the message, as a stateless proxy does; it then goes no further.
         */
        boolean handles(Message message, Hop from);
    }

    private final EventLoop loop;
    private final Transport transport;
    private final Consumer<Throwable> failureHandler;
    private DialogLayer dialogLayer;
    private MessageFilter messageFilter = (message, from) -> false;
    private Runnable endOfTurnAction = () -> {};

    /** Creates an endpoint without sockets. {@code failureHandler} is called with exceptions thrown on its thread. */
    public Endpoint(
            String name, TransportLimits limits, MessageInterceptor interceptor, Consumer<Throwable> failureHandler) {
        this.failureHandler = failureHandler;
        loop = new EventLoop(name, INBOX_CAPACITY);
        transport = new Transport(
                name,
                limits,
                new TransportEventSink() {
                    @Override
                    public boolean offer(TransportEvent event) {
                        return loop.offer(event);
                    }

                    @Override
                    public void put(TransportEvent event) throws InterruptedException {
                        loop.put(event, () -> dropCounter().increment("waited for the inbox"));
                    }
                },
                interceptor);
    }

    /** The sockets of this endpoint. */
    public Transport transport() {
        return transport;
    }

    /** Counts of dropped messages and connections, by cause. */
    public DropCounter dropCounter() {
        return transport.dropCounter();
    }

    /** The timers of the endpoint's thread; to be used on that thread only. */
    public TimerWheel timerWheel() {
        return loop.timerWheel();
    }

    /** The dialog layer, or null before {@link #start}; to be used on the endpoint's thread only. */
    public DialogLayer dialogLayer() {
        return dialogLayer;
    }

    /** Opens the sockets; either address may be null. {@link Transport#port} returns the ports. */
    public void open(InetSocketAddress udpAddress, InetSocketAddress tcpAddress) throws IOException {
        if (udpAddress != null) {
            transport.openUdp(udpAddress);
        }
        if (tcpAddress != null) {
            transport.openTcp(tcpAddress);
        }
    }

    /**
     * Starts the thread. To be called once, after {@link #open}. {@code endOfTurn} runs at the end of each turn of the
     * event loop; {@code maxTransactions} bounds the open transactions.
     */
    public void start(
            UserAgentCore userAgentCore,
            MessageFilter filter,
            Runnable endOfTurn,
            TransactionTimers timers,
            long seed,
            int maxTransactions) {
        messageFilter = filter;
        endOfTurnAction = endOfTurn;
        dialogLayer = new DialogLayer(
                loop.timerWheel(),
                timers,
                createMessageSender(),
                new IdGenerator(seed),
                userAgentCore,
                dropCounter(),
                maxTransactions);
        loop.start(createHandler(), () -> {});
    }

    private MessageSender createMessageSender() {
        return new MessageSender() {
            @Override
            public boolean send(byte[] bytes, Hop to) {
                return transport.send(bytes, to);
            }

            @Override
            public void requestUnanswered(Hop hop, Moment sentAt) {
                transport.requestUnanswered(hop, sentAt);
            }

            @Override
            public String sentBy(Hop.Protocol protocol) {
                return transport.sentBy(protocol);
            }
        };
    }

    /**
     * Runs the task on the endpoint's thread in its next turn; waits while the inbox is full. To be called by any other
     * thread.
     */
    public void execute(Runnable task) {
        try {
            loop.put(task, () -> dropCounter().increment("waited for the inbox"));
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private EventLoop.Handler createHandler() {
        return new EventLoop.Handler() {
            @Override
            public void handle(Object item) {
                boolean handled = item instanceof TransportEvent.MessageReceived received
                        && messageFilter.handles(received.message(), received.from());
                if (!handled && item instanceof TransportEvent event) {
                    dialogLayer.transactionLayer().handleEvent(event);
                }
            }

            @Override
            public void afterTurn() {
                endOfTurnAction.run();
            }

            @Override
            public void onFailure(Throwable failure) {
                dropCounter().increment("fault");
                failureHandler.accept(failure);
            }
        };
    }

    @Override
    public void close() {
        transport.close();
        loop.close();
    }
}
