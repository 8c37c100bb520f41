package martenslip;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import java.lang.reflect.InvocationTargetException;
import java.lang.reflect.Method;
import java.lang.reflect.Proxy;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import martenslip.InterleavingExplorer.SearchResult;
import martenslip.ThreeExchangeSimulation.Parameters;
import martenslip.control.Controller;
import martenslip.control.Controller.ListKind;
import martenslip.control.Orders;
import martenslip.control.RingEnd;
import martenslip.control.RingEndCause;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/**
 * The very module, through every order of a few events. Every event is judged by the rules.
 */
public class RoutingPolicyInterleavingTest {
    private static SearchResult search(Parameters plan, int depth) {
        return InterleavingExplorer.search(
                () -> new ThreeExchangeSimulation(plan, orders -> orders, module -> module), depth);
    }

    private static Parameters plan(int direct, int around, int offers, int troubles, boolean late, String... faults) {
        return new Parameters(direct, around, offers, troubles, late, 600, List.of(faults));
    }

    /** Name, world, choices, and how many sequences that makes: another figure says that the search has changed. */
    @DataProvider
    public Object[][] worlds() {
        return new Object[][] {
            {"one group", plan(2, 0, 2, 2, false), 7, 16165L},
            {"one circuit, clocks late", plan(1, 0, 2, 1, true), 9, 9562L},
            {"over the tandem", plan(1, 1, 2, 1, false), 7, 17872L},
            {"over the tandem only, clocks late", plan(0, 1, 2, 1, true), 9, 14230L},
            {"a drain and back", plan(2, 1, 2, 1, false, "drains", "ready"), 6, 16711L},
            {"the tandem drains", plan(1, 1, 2, 0, false, "tandem drains"), 8, 20992L},
            {"gone, clocks late", plan(1, 1, 2, 1, true, "gone"), 7, 34739L},
            {"replaced", plan(2, 1, 2, 1, false, "replaced"), 7, 22430L},
            {"replaced while one waits", plan(1, 0, 2, 1, true, "replaced"), 8, 19859L},
            {"hardly any patience, clocks late", new Parameters(1, 1, 2, 1, true, 120, List.of()), 8, 19272L},
            {"a restart with the kept list", plan(1, 1, 3, 0, false, "restart"), 8, 36624L},
            {"a restart amid a drain", plan(1, 1, 2, 0, true, "restart", "drains"), 7, 9959L},
            {"cold", plan(8, 1, 5, 0, false, "cold"), 7, 18053L},
            {"cold after a restart", plan(8, 1, 4, 0, false, "cold", "restart"), 7, 28510L},
            {"jammed at the first word", plan(1, 1, 2, 1, false, "jammed"), 7, 38144L},
            {"reports of no number", plan(2, 1, 2, 1, false, "unknown"), 7, 30287L},
            {"circuits lost", plan(2, 1, 2, 1, false, "circuits lost"), 7, 30207L},
        };
    }

    @Test(dataProvider = "worlds")
    public void rulesHoldInEveryOrder(String name, Parameters plan, int depth, long sequences) {
        assertEquals(search(plan, depth), new SearchResult(sequences, null), name);
    }

    /** Hands each call on as {@code change} says: it may alter the arguments, or give null to drop the call. */
    @SuppressWarnings("unchecked")
    private static <T> T spoilt(Class<T> type, T real, Set<String> calls, CallInterceptor change) {
        return (T) Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (proxy, method, values) -> {
            Object[] changed =
                    calls.contains(method.getName()) ? change.of(values, () -> method.invoke(real, values)) : values;
            try {
                return changed == null ? null : method.invoke(real, changed);
            } catch (InvocationTargetException e) {
                throw e.getCause();
            }
        });
    }

    /** A call that the interface doesn't have would never be changed. */
    private static void checkCalls(Class<?> type, Set<String> calls) {
        Set<String> methods = Stream.of(type.getMethods()).map(Method::getName).collect(Collectors.toSet());
        assertTrue(methods.containsAll(calls), calls + ", but " + type + " has " + methods);
    }

    private interface CallInterceptor {
        Object[] of(Object[] values, RealCall again) throws Exception;
    }

    private interface RealCall {
        void call() throws Exception;
    }

    private static SearchResult withOrders(Parameters plan, Set<String> calls, CallInterceptor change) {
        checkCalls(Orders.class, calls);
        return InterleavingExplorer.search(
                () -> new ThreeExchangeSimulation(
                        plan, orders -> spoilt(Orders.class, orders, calls, change), module -> module),
                6);
    }

    private static SearchResult withModule(Parameters plan, Set<String> calls, CallInterceptor change) {
        checkCalls(Controller.class, calls);
        return InterleavingExplorer.search(
                () -> new ThreeExchangeSimulation(
                        plan, orders -> orders, module -> spoilt(Controller.class, module, calls, change)),
                6);
    }

    private static void caught(SearchResult found, String rule) {
        assertTrue(found.fault() != null && found.fault().startsWith("[" + rule + ": "), "" + found);
    }

    @Test
    public void aDoubledAnswerIsCaught() {
        caught(
                withOrders(plan(0, 0, 2, 0, false), Set.of("defer"), (values, again) -> {
                    again.call();
                    return values;
                }),
                "1");
    }

    @Test
    public void aLostAnswerIsCaught() {
        caught(withOrders(plan(0, 0, 2, 0, false), Set.of("defer", "abandon"), (values, again) -> null), "1");
    }

    @Test
    public void aSecondRingIsCaught() {
        caught(
                withOrders(plan(2, 0, 2, 0, false), Set.of("ring"), (values, again) -> {
                    again.call();
                    return values;
                }),
                "2");
    }

    @Test
    public void aDrainThatIsNotHeardIsCaught() {
        caught(
                withModule(
                        plan(2, 0, 2, 0, false, "drains"),
                        Set.of("switchListReceived"),
                        (values, again) -> values[1] == ListKind.CHANGES ? null : values),
                "3");
    }

    @Test
    public void aColdStartThatIsNotHeardIsCaught() {
        caught(
                withModule(
                        plan(8, 0, 6, 0, false, "cold"),
                        Set.of("switchListReceived"),
                        (values, again) -> values[1] == ListKind.CHANGES ? null : values),
                "4");
    }

    @Test
    public void aReleaseThatIsForgottenIsCaught() {
        caught(
                withModule(plan(2, 0, 2, 2, false), Set.of("ringEnded"), (values, again) -> {
                    RingEnd end = (RingEnd) values[1];
                    values[1] = new RingEnd(
                            end.contact(),
                            end.ring(),
                            end.target(),
                            RingEndCause.UNREACHABLE,
                            end.rejectionReason(),
                            end.elapsed(),
                            end.answered(),
                            end.report());
                    return values;
                }),
                "5");
    }

    @Test
    public void aCircuitThatIsNeverGivenBackIsCaught() {
        caught(withModule(plan(2, 0, 2, 0, false), Set.of("ringEnded"), (values, again) -> null), "quiet");
    }
}
