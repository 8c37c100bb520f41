package martenslip.exchange;

import java.util.Set;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.control.Moment;
import martenslip.eventloop.EventLoop;
import martenslip.signaling.EventPackageCodec;
import martenslip.sip.dialog.DialogLayer;
import martenslip.sip.dialog.UasCall;
import martenslip.sip.dialog.UserAgentCore;
import martenslip.sip.message.InvalidValueException;
import martenslip.sip.transaction.IdGenerator;
import martenslip.sip.transaction.MessageSender;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.TransactionTimers;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.Transport;

/**
 * One thread with the transactions, dialogs and contacts whose Call-IDs are assigned to it. Everything it sends passes
 * its fence as the last step before the socket: once another thread has replaced it, it sends nothing any more.
 */
final class Lane {
    private static final int MAX_TRANSACTIONS_PER_CONTACT = 8;
    /** Of all lanes together. */
    private static final int MAX_TRANSACTIONS = 1 << 20;

    /** Services that all lanes of an exchange share. */
    record SharedServices(
            ExchangeConfiguration configuration,
            Transport transport,
            SwitchStateCache switchStateCache,
            SwitchListStore switchListStore,
            EventPackageCodec eventPackageCodec,
            EventLog eventLog) {}

    final int number;
    final EventLoop loop;
    final Contacts contacts;
    final NetworkMonitor networkMonitor;
    final ExchangeStatistics statistics = new ExchangeStatistics();
    final StallInjector stallInjector = new StallInjector();
    private final SharedServices sharedServices;
    private final DialogLayer dialogLayer;
    /**
     * The decider that shares the thread of this lane if the exchange has one lane, else null; set before the thread
     * starts.
     */
    Decider decider;

    /** {@code seed} must differ at each start: peers may still know branches and tags of an earlier run. */
    Lane(
            int number,
            EventLoop loop,
            SharedServices sharedServices,
            HandoverStore handoverStore,
            LaneReports reports,
            long seed) {
        this.number = number;
        this.loop = loop;
        this.sharedServices = sharedServices;
        ExchangeConfiguration configuration = sharedServices.configuration();
        int laneCount = configuration.limits().lanes();
        int maxTransactions =
                Math.min(MAX_TRANSACTIONS, configuration.limits().maxOpenContacts() * MAX_TRANSACTIONS_PER_CONTACT)
                        / laneCount;
        IdGenerator idGenerator = new IdGenerator(seed, callId -> forCallId(callId, laneCount) == number);
        dialogLayer = new DialogLayer(
                loop.timerWheel(),
                TransactionTimers.DELAYED_TRYING,
                messageSender(),
                idGenerator,
                userAgentCore(),
                sharedServices.transport().dropCounter(),
                maxTransactions);
        contacts = new Contacts(
                configuration,
                dialogLayer,
                number,
                handoverStore,
                reports,
                loop::isFenced,
                sharedServices.eventLog(),
                statistics);
        networkMonitor = new NetworkMonitor(
                configuration,
                dialogLayer,
                reports,
                sharedServices.eventPackageCodec(),
                sharedServices.switchStateCache(),
                sharedServices.switchListStore(),
                sharedServices.eventLog());
    }

    /** The lane of a Call-ID: the same in each process and for all messages of the dialog. */
    static int forCallId(String callId, int laneCount) {
        int hash = callId.hashCode();
        return Math.floorMod(hash ^ hash >>> 15, laneCount);
    }

    DialogLayer dialogLayer() {
        return dialogLayer;
    }

    private MessageSender messageSender() {
        Transport transport = sharedServices.transport();
        return new MessageSender() {
            @Override
            public boolean send(byte[] bytes, Hop hop) {
                stallInjector.beforeSend(bytes);
                return loop.isFenced() || transport.send(bytes, hop);
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

    private UserAgentCore userAgentCore() {
        return new UserAgentCore() {
            @Override
            public void inviteReceived(UasCall call) {
                contacts.inviteReceived(call);
            }

            @Override
            public void requestReceived(ServerTransaction transaction) {
                try {
                    networkMonitor.requestReceived(transaction);
                } catch (InvalidValueException e) {
                    transaction.respond(transaction.request().createResponse(400, "Unreadable value", null));
                }
            }

            @Override
            public void connectionLost(Hop hop, boolean everUp) {
                sharedServices
                        .eventLog()
                        .info(loop.timerWheel().now(), "connection-ended", "hop", hop, "ever_up", everUp);
            }

            @Override
            public Set<String> additionalMethods() {
                return Set.of("NOTIFY", "MESSAGE", "OPTIONS");
            }
        };
    }
}
