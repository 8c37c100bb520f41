package martenslip.scenario;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
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

/** Replays to a new module the events of a run over sockets; same orders prove that nothing else influences it. */
public class EventReplayTest {
    /** Records the events and orders of one exchange's module, each order after the event that caused it. */
    private static final class RecordingController implements Controller {
        final Map<String, String> settings;
        final long seed;
        final Moment startedAt;
        final List<Consumer<Controller>> events = new ArrayList<>();
        final List<Contact> offeredContacts = new CopyOnWriteArrayList<>();
        final Map<Contact, Moment> offeredAt = new ConcurrentHashMap<>();
        final List<String> orderLines = new ArrayList<>();
        private final Controller module;

        RecordingController(Map<String, String> settings, long seed, Moment now, Orders orders) {
            this.settings = settings;
            this.seed = seed;
            startedAt = now;
            module = new RoutingPolicy(settings, seed, now, recordingOrders(orderLines, orders));
        }

        private synchronized void recordAndForward(Consumer<Controller> event) {
            events.add(event);
            orderLines.add("-");
            event.accept(module);
        }

        synchronized List<String> replay() {
            List<String> replayedLines = new ArrayList<>();
            Controller replayModule =
                    new RoutingPolicy(settings, seed, startedAt, recordingOrders(replayedLines, null));
            for (Consumer<Controller> event : events) {
                replayedLines.add("-");
                event.accept(replayModule);
            }
            return replayedLines;
        }

        @Override
        public void switchListReceived(Moment now, ListKind kind, List<SwitchEntry> lines) {
            recordAndForward(controller -> controller.switchListReceived(now, kind, lines));
        }

        @Override
        public void contactOffered(Moment now, Contact contact) {
            offeredAt.put(contact, now);
            offeredContacts.add(contact);
            recordAndForward(controller -> controller.contactOffered(now, contact));
        }

        @Override
        public void established(Moment now, long contact, int ring, long target, Span took) {
            recordAndForward(controller -> controller.established(now, contact, ring, target, took));
        }

        @Override
        public void ringEnded(Moment now, RingEnd end) {
            recordAndForward(controller -> controller.ringEnded(now, end));
        }

        @Override
        public void callerGone(Moment now, long contact) {
            recordAndForward(controller -> controller.callerGone(now, contact));
        }

        @Override
        public void timerExpired(Moment now, long token) {
            recordAndForward(controller -> controller.timerExpired(now, token));
        }

        @Override
        public void switchReported(Moment now, long target, boolean reached, Span took, float[] report) {
            recordAndForward(controller -> controller.switchReported(now, target, reached, took, report));
        }

        @Override
        public void peerNoteReceived(Moment now, int peer, byte[] note) {
            recordAndForward(controller -> controller.peerNoteReceived(now, peer, note));
        }

        @Override
        public void stopped(Moment now) {
            recordAndForward(controller -> controller.stopped(now));
        }
    }

    private static Orders recordingOrders(List<String> lines, Orders delegate) {
        return (Orders) java.lang.reflect.Proxy.newProxyInstance(
                Orders.class.getClassLoader(), new Class<?>[] {Orders.class}, (proxy, method, values) -> {
                    StringBuilder line = new StringBuilder(method.getName());
                    for (Object value : values == null ? new Object[0] : values) {
                        line.append(' ').append(value instanceof byte[] bytes ? List.of(bytes.length) : value);
                    }
                    lines.add(line.toString());
                    return delegate == null ? null : method.invoke(delegate, values);
                });
    }

    @Test
    public void replayedEventsProduceTheSameOrders() throws Exception {
        List<RecordingController> controllers = new CopyOnWriteArrayList<>();
        ControllerFactory factory = (settings, seed, now, orders) -> {
            RecordingController controller = new RecordingController(settings, seed, now, orders);
            controllers.add(controller);
            return controller;
        };
        try (ThreeExchangeEnvironment environment =
                new ThreeExchangeEnvironment(Hop.Protocol.UDP, Span.ofMillis(4), factory)) {
            environment.trunks.reduceCircuits("g-0-1", 0.05);
            Moment firstDialledAt = new Moment(System.nanoTime());
            for (int i = 0; i < 60; i++) {
                environment.callers.dial(i % 3, (i + 1 + i / 30) % 3, 0);
                if (i == 30) {
                    // A tandem that is already slow would not be chosen.
                    ThreeExchangeEnvironment.await(
                            () -> controllers.stream()
                                    .flatMap(candidate -> candidate.offeredContacts.stream())
                                    .anyMatch(Contact::inTransit),
                            "a contact in transit");
                    environment.switches.get(2).setSlowdown(30);
                }
            }
            ThreeExchangeEnvironment.await(() -> environment.endedCount() == 60, "all ended");
            // The first controller of each exchange only warms up the code and is discarded.
            List<Contact> originated = controllers.get(1).offeredContacts.stream()
                    .filter(candidate -> !candidate.inTransit())
                    .toList();
            assertEquals(originated.size(), 20);
            assertTrue(originated.stream()
                    .allMatch(candidate -> isRemainingPatience(
                                    candidate.patience(),
                                    controllers.get(1).offeredAt.get(candidate).since(firstDialledAt))
                            && candidate.width() == 1
                            && candidate.routingHint() == -1
                            && Long.toString(candidate.dialledNumber()).startsWith("770" + candidate.destination())));
            for (RecordingController controller : controllers) {
                synchronized (controller) {
                    assertEquals(controller.replay(), controller.orderLines);
                }
            }
        }
    }

    /** What is left of the 2 s that the callers wait, at most this long after one has dialled. */
    private static boolean isRemainingPatience(Span patience, Span longestWait) {
        Span stated = Span.ofMillis(2000);
        return !patience.longerThan(stated) && !stated.minus(longestWait).longerThan(patience);
    }
}
