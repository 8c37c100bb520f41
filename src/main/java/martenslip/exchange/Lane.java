package martenslip.exchange;

import java.util.Set;
import martenslip.provision.Site;
import martenslip.signal.SwitchText;
import martenslip.sip.dialog.CallIn;
import martenslip.sip.dialog.CallUser;
import martenslip.sip.dialog.Calls;
import martenslip.sip.message.BadValue;
import martenslip.sip.transaction.Branches;
import martenslip.sip.transaction.Outlet;
import martenslip.sip.transaction.ServerTransaction;
import martenslip.sip.transaction.Timers;
import martenslip.sip.transport.Hop;
import martenslip.sip.transport.Transport;
import martenslip.wheel.EventLoop;

/**
 * One thread with the transactions, dialogs and contacts whose Call-IDs lead to it. What it sends passes its fence at
 * the last step before the socket: once another thread has its place, nothing of it leaves any more.
 */
final class Lane {
    private static final int TRANSACTIONS_A_CONTACT = 8;

    /** What all lanes of an exchange have in common. */
    record Common(Site site, Transport transport, Known known, KeptList kept, SwitchText text, EventLog log) {}

    final int number;
    final EventLoop loop;
    final Contacts contacts;
    final Surroundings surroundings;
    final Figures figures = new Figures();
    final Planted planted = new Planted();
    private final Common common;
    private final Calls calls;
    /** The decider on this lane's own thread, where there is one lane; set before the thread starts. */
    Decider decider;

    /** {@code seed} must differ at each start: branches and tags of an earlier one may still be about. */
    Lane(int number, EventLoop loop, Common common, Estate estate, Reports reports, long seed) {
        this.number = number;
        this.loop = loop;
        this.common = common;
        Site site = common.site();
        int lanes = site.limits().lanes();
        int most = Math.min(1 << 20, site.limits().mostOpen() * TRANSACTIONS_A_CONTACT) / lanes;
        Branches branches = new Branches(seed, callId -> of(callId, lanes) == number);
        calls = new Calls(
                loop.wheel(),
                Timers.QUICK,
                outlet(),
                branches,
                user(),
                common.transport().drops(),
                most);
        contacts = new Contacts(site, calls, number, estate, reports, loop::fenced, common.log(), figures);
        surroundings =
                new Surroundings(site, calls, reports, common.text(), common.known(), common.kept(), common.log());
    }

    /** The lane of a Call-ID, the same in each process and for all messages of its dialog. */
    static int of(String callId, int lanes) {
        int hash = callId.hashCode();
        return Math.floorMod(hash ^ hash >>> 15, lanes);
    }

    Calls calls() {
        return calls;
    }

    private Outlet outlet() {
        Transport transport = common.transport();
        return new Outlet() {
            @Override
            public boolean send(byte[] bytes, Hop to) {
                planted.sending(bytes);
                return loop.fenced() || transport.send(bytes, to);
            }

            @Override
            public String sentBy(Hop.Kind kind) {
                return transport.sentBy(kind);
            }
        };
    }

    private CallUser user() {
        return new CallUser() {
            @Override
            public void incoming(CallIn call) {
                contacts.incoming(call);
            }

            @Override
            public void requested(ServerTransaction transaction) {
                try {
                    surroundings.requested(transaction);
                } catch (BadValue e) {
                    transaction.respond(transaction.request().answer(400, "Unreadable value", null));
                }
            }

            @Override
            public void broken(Hop hop, boolean everUp) {
                common.log().info(loop.wheel().now(), "connection-ended", "hop", hop, "ever_up", everUp);
            }

            @Override
            public Set<String> methods() {
                return Set.of("NOTIFY", "MESSAGE", "OPTIONS");
            }
        };
    }
}
