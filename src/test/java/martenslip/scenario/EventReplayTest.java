package martenslip.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.function.Consumer;
import martenslip.RoutingPolicy;
import martenslip.control.Contact;
import martenslip.control.Controller;
import martenslip.control.ControllerFactory;
import martenslip.control.Moment;
import martenslip.control.Orders;
import martenslip.control.RingEnd;
import martenslip.control.Span;
import martenslip.control.SwitchEntry;
import martenslip.sip.transport.Hop;
import org.testng.annotations.Test;

/** What the module was told over sockets, told again directly, must bring the same orders: nothing else steers it. */
public class EventReplayTest {
    /** One exchange's module with all that it was told and ordered, each order after the event that brought it. */
    private static final class RecordingController implements Controller {
        final Map<String, String> settings;
        final long seed;
        final Moment start;
        final List<Consumer<Controller>> told = new ArrayList<>();
        final List<Contact> offered = new CopyOnWriteArrayList<>();
        final List<String> ordered = new ArrayList<>();
        private final Controller module;

        RecordingController(Map<String, String> settings, long seed, Moment now, Orders orders) {
            this.settings = settings;
            this.seed = seed;
            start = now;
            module = new RoutingPolicy(settings, seed, now, written(ordered, orders));
        }

        private synchronized void tell(Consumer<Controller> what) {
            told.add(what);
            ordered.add("-");
            what.accept(module);
        }

        synchronized List<String> again() {
            List<String> orders = new ArrayList<>();
            Controller fresh = new RoutingPolicy(settings, seed, start, written(orders, null));
            for (Consumer<Controller> what : told) {
                orders.add("-");
                what.accept(fresh);
            }
            return orders;
        }

        @Override
        public void switchListReceived(Moment now, ListKind kind, List<SwitchEntry> lines) {
            tell(to -> to.switchListReceived(now, kind, lines));
        }

        @Override
        public void contactOffered(Moment now, Contact contact) {
            offered.add(contact);
            tell(to -> to.contactOffered(now, contact));
        }

        @Override
        public void established(Moment now, long contact, int ring, long target, Span took) {
            tell(to -> to.established(now, contact, ring, target, took));
        }

        @Override
        public void ringEnded(Moment now, RingEnd end) {
            tell(to -> to.ringEnded(now, end));
        }

        @Override
        public void callerGone(Moment now, long contact) {
            tell(to -> to.callerGone(now, contact));
        }

        @Override
        public void timerExpired(Moment now, long token) {
            tell(to -> to.timerExpired(now, token));
        }

        @Override
        public void switchReported(Moment now, long target, boolean reached, Span took, float[] report) {
            tell(to -> to.switchReported(now, target, reached, took, report));
        }

        @Override
        public void peerNoteReceived(Moment now, int peer, byte[] note) {
            tell(to -> to.peerNoteReceived(now, peer, note));
        }

        @Override
        public void stopped(Moment now) {
            tell(to -> to.stopped(now));
        }
    }

    private static Orders written(List<String> lines, Orders on) {
        return (Orders) java.lang.reflect.Proxy.newProxyInstance(
                Orders.class.getClassLoader(), new Class<?>[] {Orders.class}, (proxy, method, values) -> {
                    StringBuilder line = new StringBuilder(method.getName());
                    for (Object value : values == null ? new Object[0] : values) {
                        line.append(' ').append(value instanceof byte[] bytes ? List.of(bytes.length) : value);
                    }
                    lines.add(line.toString());
                    return on == null ? null : method.invoke(on, values);
                });
    }

    @Test
    public void theSameHappeningsBringTheSameOrders() throws Exception {
        List<RecordingController> diaries = new CopyOnWriteArrayList<>();
        ControllerFactory maker = (settings, seed, now, orders) -> {
            RecordingController diary = new RecordingController(settings, seed, now, orders);
            diaries.add(diary);
            return diary;
        };
        try (ThreeExchangeEnvironment world = new ThreeExchangeEnvironment(Hop.Protocol.UDP, Span.ofMillis(4), maker)) {
            world.trunks.reduceCircuits("g-0-1", 0.05);
            for (int i = 0; i < 60; i++) {
                world.callers.dial(i % 3, (i + 1 + i / 30) % 3, 0);
                if (i == 30) {
                    // A tandem that is slow already would be passed over.
                    ThreeExchangeEnvironment.await(
                            () -> diaries.stream()
                                    .flatMap(one -> one.offered.stream())
                                    .anyMatch(Contact::inTransit),
                            "a contact in transit");
                    world.machines.get(2).setSlowdown(30);
                }
            }
            ThreeExchangeEnvironment.await(() -> world.ended() == 60, "all ended");
            // The first one of each exchange warmed its code and is thrown away.
            List<Contact> own = diaries.get(1).offered.stream()
                    .filter(one -> !one.inTransit())
                    .toList();
            assertEquals(own.size(), 20);
            assertTrue(own.stream()
                    .allMatch(one -> one.patience().ns() == 2_000_000_000L
                            && one.width() == 1
                            && one.routingHint() == -1
                            && Long.toString(one.dialledNumber()).startsWith("770" + one.destination())));
            for (RecordingController diary : diaries) {
                synchronized (diary) {
                    assertEquals(diary.again(), diary.ordered);
                }
            }
        }
    }
}
