package martenslip.exchange;

import java.util.Set;
import martenslip.configuration.ExchangeConfiguration;
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
 * One thread with the transactions, dialogs and contacts whose Call-IDs lead to it. What it sends passes its fence at
 * the last step before the socket: once another thread has its place, nothing of it leaves any more.
 */
final class Lane {
    private static final int TRANSACTIONS_A_CONTACT = 8;

    /** What all lanes of an exchange have in common. */
    record SharedServices(
            ExchangeConfiguration site,
            Transport transport,
            SwitchStateCache known,
            SwitchListStore kept,
            EventPackageCodec text,
            EventLog log) {}

    final int number;
    final EventLoop loop;
    final Contacts contacts;
    final NetworkMonitor surroundings;
    final ExchangeStatistics figures = new ExchangeStatistics();
    final StallInjector planted = new StallInjector();
    private final SharedServices common;
    private final DialogLayer calls;
    /** The decider on this lane's own thread, where there is one lane; set before the thread starts. */
    Decider decider;

    /** {@code seed} must differ at each start: branches and tags of an earlier one may still be about. */
    Lane(int number, EventLoop loop, SharedServices common, HandoverStore estate, LaneReports reports, long seed) {
        this.number = number;
        this.loop = loop;
        this.common = common;
        ExchangeConfiguration site = common.site();
        int lanes = site.limits().lanes();
        int most = Math.min(1 << 20, site.limits().maxOpenContacts() * TRANSACTIONS_A_CONTACT) / lanes;
        IdGenerator branches = new IdGenerator(seed, callId -> of(callId, lanes) == number);
        calls = new DialogLayer(
                loop.timerWheel(),
                TransactionTimers.DELAYED_TRYING,
                outlet(),
                branches,
                user(),
                common.transport().dropCounter(),
                most);
        contacts = new Contacts(site, calls, number, estate, reports, loop::isFenced, common.log(), figures);
        surroundings =
                new NetworkMonitor(site, calls, reports, common.text(), common.known(), common.kept(), common.log());
    }

    /** The lane of a Call-ID, the same in each process and for all messages of its dialog. */
    static int of(String callId, int lanes) {
        int hash = callId.hashCode();
        return Math.floorMod(hash ^ hash >>> 15, lanes);
    }

    DialogLayer calls() {
        return calls;
    }

    private MessageSender outlet() {
        Transport transport = common.transport();
        return new MessageSender() {
            @Override
            public boolean send(byte[] bytes, Hop to) {
                planted.sending(bytes);
                return loop.isFenced() || transport.send(bytes, to);
            }

            @Override
            public String sentBy(Hop.Protocol kind) {
                return transport.sentBy(kind);
            }
        };
    }

    private UserAgentCore user() {
        return new UserAgentCore() {
            @Override
            public void inviteReceived(UasCall call) {
                contacts.incoming(call);
            }

            @Override
            public void requestReceived(ServerTransaction transaction) {
                try {
                    surroundings.requested(transaction);
                } catch (InvalidValueException e) {
                    transaction.respond(transaction.request().createResponse(400, "Unreadable value", null));
                }
            }

            @Override
            public void connectionLost(Hop hop, boolean everUp) {
                common.log().info(loop.timerWheel().now(), "connection-ended", "hop", hop, "ever_up", everUp);
            }

            @Override
            public Set<String> additionalMethods() {
                return Set.of("NOTIFY", "MESSAGE", "OPTIONS");
            }
        };
    }
}
