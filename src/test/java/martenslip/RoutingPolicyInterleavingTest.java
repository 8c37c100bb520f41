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

/** Runs the real module through every order of a few events and checks the rules at each event. */
public class RoutingPolicyInterleavingTest {
    private static SearchResult search(Parameters parameters, int depth) {
        return InterleavingExplorer.search(
                () -> new ThreeExchangeSimulation(parameters, orders -> orders, module -> module), depth);
    }

    private static Parameters parameters(
            int directCircuits, int tandemCircuits, int offers, int failures, boolean lateTimers, String... faults) {
        return new Parameters(directCircuits, tandemCircuits, offers, failures, lateTimers, 600, List.of(faults));
    }

    /** Name, parameters, depth, and number of sequences; a different number means that the search has changed. */
    @DataProvider
    public Object[][] simulations() {
        return new Object[][] {
            {"one group", parameters(2, 0, 2, 2, false), 7, 16165L},
            {"one circuit, timers late", parameters(1, 0, 2, 1, true), 9, 9562L},
            {"over the tandem", parameters(1, 1, 2, 1, false), 7, 17872L},
            {"over the tandem only, timers late", parameters(0, 1, 2, 1, true), 9, 14230L},
            {"a drain and back", parameters(2, 1, 2, 1, false, "drains", "ready"), 6, 16711L},
            {"the tandem drains", parameters(1, 1, 2, 0, false, "tandem drains"), 8, 20992L},
            {"gone, timers late", parameters(1, 1, 2, 1, true, "gone"), 7, 34739L},
            {"replaced", parameters(2, 1, 2, 1, false, "replaced"), 7, 22430L},
            {"replaced while one waits", parameters(1, 0, 2, 1, true, "replaced"), 8, 19859L},
            {"little patience, timers late", new Parameters(1, 1, 2, 1, true, 120, List.of()), 8, 19272L},
            {"a restart with the cached list", parameters(1, 1, 3, 0, false, "restart"), 8, 36624L},
            {"a restart during a drain", parameters(1, 1, 2, 0, true, "restart", "drains"), 7, 9959L},
            {"cold", parameters(8, 1, 5, 0, false, "cold"), 7, 18053L},
            {"cold after a restart", parameters(8, 1, 4, 0, false, "cold", "restart"), 7, 28510L},
            {"jammed at the first report", parameters(1, 1, 2, 1, false, "jammed"), 7, 38144L},
            {"reports of NaN and infinity", parameters(2, 1, 2, 1, false, "unknown"), 7, 30287L},
            {"circuits lost", parameters(2, 1, 2, 1, false, "circuits lost"), 7, 30207L},
        };
    }

    @Test(dataProvider = "simulations")
    public void rulesHoldInEveryEventOrder(String name, Parameters parameters, int depth, long sequences) {
        assertEquals(search(parameters, depth), new SearchResult(sequences, null), name);
    }

    /** Forwards calls; the interceptor may change the arguments of these methods, or return null to drop the call. */
    @SuppressWarnings("unchecked")
    private static <T> T intercept(Class<T> type, T target, Set<String> methodNames, CallInterceptor interceptor) {
        return (T) Proxy.newProxyInstance(type.getClassLoader(), new Class<?>[] {type}, (proxy, method, values) -> {
            Object[] changed = methodNames.contains(method.getName())
                    ? interceptor.arguments(values, () -> method.invoke(target, values))
                    : values;
            try {
                return changed == null ? null : method.invoke(target, changed);
            } catch (InvocationTargetException e) {
                throw e.getCause();
            }
        });
    }

    /** A method name that the interface doesn't have would never be intercepted. */
    private static void checkCalls(Class<?> type, Set<String> methodNames) {
        Set<String> methods = Stream.of(type.getMethods()).map(Method::getName).collect(Collectors.toSet());
        assertTrue(methods.containsAll(methodNames), methodNames + ", but " + type + " has " + methods);
    }

    private interface CallInterceptor {
        Object[] arguments(Object[] values, RealCall realCall) throws Exception;
    }

    private interface RealCall {
        void call() throws Exception;
    }

    private static SearchResult searchWithOrders(
            Parameters parameters, Set<String> methodNames, CallInterceptor interceptor) {
        checkCalls(Orders.class, methodNames);
        return InterleavingExplorer.search(
                () -> new ThreeExchangeSimulation(
                        parameters,
                        orders -> intercept(Orders.class, orders, methodNames, interceptor),
                        module -> module),
                6);
    }

    private static SearchResult searchWithModule(
            Parameters parameters, Set<String> methodNames, CallInterceptor interceptor) {
        checkCalls(Controller.class, methodNames);
        return InterleavingExplorer.search(
                () -> new ThreeExchangeSimulation(
                        parameters,
                        orders -> orders,
                        module -> intercept(Controller.class, module, methodNames, interceptor)),
                6);
    }

    private static void assertViolation(SearchResult result, String rule) {
        assertTrue(result.fault() != null && result.fault().startsWith("[" + rule + ": "), "" + result);
    }

    @Test
    public void detectsDuplicateAnswer() {
        assertViolation(
                searchWithOrders(parameters(0, 0, 2, 0, false), Set.of("defer"), (values, realCall) -> {
                    realCall.call();
                    return values;
                }),
                "1");
    }

    @Test
    public void detectsLostAnswer() {
        assertViolation(
                searchWithOrders(parameters(0, 0, 2, 0, false), Set.of("defer", "abandon"), (values, realCall) -> null),
                "1");
    }

    @Test
    public void detectsSecondRingInFlight() {
        assertViolation(
                searchWithOrders(parameters(2, 0, 2, 0, false), Set.of("ring"), (values, realCall) -> {
                    realCall.call();
                    return values;
                }),
                "2");
    }

    @Test
    public void detectsIgnoredDrain() {
        assertViolation(
                searchWithModule(
                        parameters(2, 0, 2, 0, false, "drains"),
                        Set.of("switchListReceived"),
                        (values, realCall) -> values[1] == ListKind.CHANGES ? null : values),
                "3");
    }

    @Test
    public void detectsIgnoredColdStart() {
        assertViolation(
                searchWithModule(
                        parameters(8, 0, 6, 0, false, "cold"),
                        Set.of("switchListReceived"),
                        (values, realCall) -> values[1] == ListKind.CHANGES ? null : values),
                "4");
    }

    @Test
    public void detectsIgnoredReleaseTime() {
        assertViolation(
                searchWithModule(parameters(2, 0, 2, 2, false), Set.of("ringEnded"), (values, realCall) -> {
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
    public void detectsUnreleasedCircuit() {
        assertViolation(
                searchWithModule(parameters(2, 0, 2, 0, false), Set.of("ringEnded"), (values, realCall) -> null),
                "quiet");
    }
}
