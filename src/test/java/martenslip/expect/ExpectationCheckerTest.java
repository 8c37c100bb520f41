package martenslip.expect;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertTrue;

import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import martenslip.RoutingPolicy;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.configuration.ExchangeFile;
import martenslip.configuration.InvalidFileException;
import martenslip.expect.Expectation.Condition;
import martenslip.expect.Expectation.Outcome;
import martenslip.expect.Expectation.Quantifier;
import martenslip.expect.Expectation.Route;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Five exchanges: exchange 0 has groups to 1, 2 and 3 but none to 4; exchanges 0 to 3 have configurations. */
public class ExpectationCheckerTest {
    private static final String DESK_DEFINITIONS = "desk d0 is exchange 0 in north\ndesk d1 is exchange 1 in north\n"
            + "desk d2 is exchange 2 in north\ndesk d3 is exchange 3 in south\ndesk d4 is exchange 4 in south\n";

    private static ExchangeConfiguration configuration(int ownNumber, Map<Integer, Integer> groups) throws Exception {
        StringBuilder prefixElements = new StringBuilder();
        StringBuilder groupElements = new StringBuilder();
        for (int exchange = 0; exchange < 5; exchange++) {
            prefixElements
                    .append("<prefix digits='+770")
                    .append(exchange)
                    .append("' exchange='")
                    .append(exchange)
                    .append("'/>");
        }
        groups.forEach((farExchange, circuits) -> groupElements
                .append("<group name='g-")
                .append(Math.min(farExchange, ownNumber))
                .append('-')
                .append(Math.max(farExchange, ownNumber))
                .append("' far='")
                .append(farExchange)
                .append("' circuits='")
                .append(circuits)
                .append("'/>"));
        return ExchangeFile.read(
                "test",
                ("<exchange xmlns='urn:martenslip:exchange:1' number='" + ownNumber
                                + "' region='north' seed='1'><listen host='127.0.0.1' udp='0'/><circuits uri='sip:c@127.0.0.1:9'/>"
                                + "<switch-list uri='sip:s@127.0.0.1:9' kept='k.xml'/><regions><region name='north'/><region name='south'/>"
                                + "</regions><skills usual='status'><skill name='status' value='1' width='1' answer-target-ms='1200' "
                                + "patience-ms='4000' mean-hold-ms='3000'/><skill name='slot' value='8' width='4' answer-target-ms='1200' "
                                + "patience-ms='4000' mean-hold-ms='3000' resource-priority='q735.1'/></skills><numbering>"
                                + prefixElements
                                + "</numbering><groups trunk-context='t.example'>" + groupElements
                                + "</groups><limits most-rings='5' "
                                + "most-open='1000' come-back-ms='1000' silence-ms='600'/><rules release-ms='500' "
                                + "cold-share='0.3' warm-within-ms='10000' fall-multiple='3'/>"
                                + "<reports fields='allowed depth'/><peers/></exchange>")
                        .getBytes(StandardCharsets.UTF_8),
                Path.of("."));
    }

    private static Map<Integer, ExchangeConfiguration> configurations(Map<Integer, Integer> originGroups)
            throws Exception {
        Map<Integer, ExchangeConfiguration> configurations = new HashMap<>();
        configurations.put(0, configuration(0, originGroups));
        configurations.put(1, configuration(1, Map.of(0, 30, 2, 30, 3, 30, 4, 30)));
        configurations.put(2, configuration(2, Map.of(0, 30, 1, 30, 3, 30, 4, 30)));
        configurations.put(3, configuration(3, Map.of(0, 30, 1, 30, 2, 30)));
        return configurations;
    }

    private static final Map<Integer, Integer> ORIGIN_GROUPS = Map.of(1, 30, 2, 30, 3, 30);

    private static List<ExpectationChecker.Result> check(
            Map<Integer, ExchangeConfiguration> configurations, String expectations) throws Exception {
        ExpectationFile.Contents contents =
                ExpectationFile.read("test.expect", DESK_DEFINITIONS + expectations, configurations.get(0));
        ExpectationChecker checker = new ExpectationChecker(configurations, 0, contents, RoutingPolicy::new);
        return contents.expectations().stream().map(checker::check).toList();
    }

    @DataProvider
    public Object[][] satisfiedExpectations() {
        return new Object[][] {
            {"status to d1 goes direct"},
            {"anything to d1 stands"},
            {"status from d0 to d4 goes via d1 or d2 or d3, else via d1 or d2"},
            {"nothing to d4 goes direct"},
            {"status to d1 goes via d2 or d3 while group g-0-1 is full"},
            {"status to d1 may go via d2 while group g-0-1 is full"},
            {"status to d1 at least 20% goes via d2 while group g-0-1 is full"},
            {"nothing goes via d2 while it is draining"},
            {"anything to d1 never is deferred"},
            {"status to d1 is deferred while group g-0-1 is full and group g-0-2 is full and group g-0-3 is full"},
            {"slot to d1 goes via d2 or d3 while group g-0-1 has 3 free"},
            {"status to d1 goes direct while group g-0-1 has 20 free"},
            {"status to d1 never stands while d1 is silent and d2 is cold"},
            {"anything to d1 goes direct while region south is cut off and d2 is cold"}
        };
    }

    @Test(dataProvider = "satisfiedExpectations")
    public void satisfiedExpectationHolds(String line) throws Exception {
        ExpectationChecker.Result result =
                check(configurations(ORIGIN_GROUPS), line).get(0);
        assertTrue(result.holds(), result.reason());
    }

    @DataProvider
    public Object[][] violatedExpectations() {
        return new Object[][] {
            {"status to d1 goes via d2", "direct (stood)"},
            {"anything to d4 is deferred", "stood"},
            {"status to d1 never goes direct", "direct (stood)"},
            {"nothing goes via d2", "via d2"},
            {"status to d1 at least 90% goes via d2 while group g-0-1 is full", "% of 300 trials"},
            {"status to d1 may go via d3", "never did in 60 trials"},
            {
                "status to d1 stands while group g-0-1 is full and group g-0-2 is full and group g-0-3 is full",
                "was deferred"
            }
        };
    }

    @Test(dataProvider = "violatedExpectations")
    public void violationNamesRouteTaken(String line, String expectedReason) throws Exception {
        ExpectationChecker.Result result =
                check(configurations(ORIGIN_GROUPS), line).get(0);
        assertFalse(result.holds());
        assertTrue(result.reason().contains(expectedReason), result.reason());
    }

    /** Removing a group or its circuits breaks the expectation that needs it and no other. */
    @Test
    public void changedGroupBreaksOnlyItsExpectations() throws Exception {
        String expectations = "status to d1 goes direct\nslot to d2 goes direct\nstatus to d3 goes direct\n"
                + "nothing goes via d3 while it is draining\nanything to d4 stands";
        assertTrue(
                check(configurations(ORIGIN_GROUPS), expectations).stream().allMatch(ExpectationChecker.Result::holds));
        List<ExpectationChecker.Result> withoutDirectGroup = check(configurations(Map.of(2, 30, 3, 30)), expectations);
        assertEquals(
                withoutDirectGroup.stream()
                        .filter(result -> !result.holds())
                        .map(result -> result.expectation().text())
                        .toList(),
                List.of("status to d1 goes direct"));
        List<ExpectationChecker.Result> withSmallGroup =
                check(configurations(Map.of(1, 30, 2, 2, 3, 30)), expectations);
        assertEquals(
                withSmallGroup.stream()
                        .filter(result -> !result.holds())
                        .map(result -> result.expectation().text())
                        .toList(),
                List.of("slot to d2 goes direct"));
    }

    @Test
    public void findsWeakRoutesWithoutExpectations() throws Exception {
        Map<Integer, ExchangeConfiguration> configurations = configurations(Map.of(3, 30));
        configurations.remove(1);
        configurations.remove(2);
        ExpectationFile.Contents contents =
                ExpectationFile.read("test.expect", DESK_DEFINITIONS, configurations.get(0));
        List<String> findings = new ExpectationChecker(configurations, 0, contents, RoutingPolicy::new).findings();
        assertTrue(findings.contains("d1 is reached by one tandem alone, d3"), findings.toString());
        assertTrue(
                findings.stream().anyMatch(finding -> finding.startsWith("nothing reaches d4")), findings.toString());
        assertEquals(findings.size(), 3, findings.toString());
    }

    @DataProvider
    public Object[][] malformedLines() {
        return new Object[][] {
            {"status to d9x goes direct", "line 6, column 11: no desk or set is called d9x"},
            {"statu to d1 stands", "no skill is called statu; did you mean status?"},
            {"status to d1 goes sideways", "column 19"},
            {"status to d1 at least 200% stands", "over 100%"},
            {"status to d1 stands while group g-0-9 is full", "no group is called g-0-9; did you mean g-0-1?"},
            {"status to d1 stands while group g-0-1 has 31 free", "has 30 circuits in all"},
            {"status from d1 to d2 stands", "is not the exchange of this file"},
            {"status to d1 stands while it is cold", "'it' refers to no desk"},
            {"desk d1 is exchange 1", "defined already"},
            {"desk q is exchange 77", "no number leads to exchange 77"}
        };
    }

    @Test(dataProvider = "malformedLines")
    public void malformedLineIsRejectedWithReason(String line, String expectedReason) throws Exception {
        try {
            ExpectationFile.read(
                    "test.expect",
                    DESK_DEFINITIONS + line,
                    configurations(ORIGIN_GROUPS).get(0));
        } catch (InvalidFileException e) {
            assertTrue(e.getMessage().contains(expectedReason), e.getMessage());
            return;
        }
        throw new AssertionError("accepted: " + line);
    }

    private static List<Contradictions.Contradiction> contradictions(String expectations) throws Exception {
        return Contradictions.find(ExpectationFile.read(
                        "test.expect",
                        DESK_DEFINITIONS + "set all = d1, d2, d3\n" + expectations,
                        configurations(ORIGIN_GROUPS).get(0))
                .expectations());
    }

    @DataProvider
    public Object[][] expectationPairs() {
        return new Object[][] {
            {"status to d1 goes direct\nstatus to d1 goes via d2", true},
            {"status to all goes direct\nstatus to d1 never goes direct", true},
            {"status to d1 stands\nanything to d1 is deferred", true},
            {"status to d1 at least 60% goes via d2\nstatus to d1 at least 50% goes via d3", true},
            {"status to d1 at least 50% goes via d2\nstatus to d1 at least 50% goes via d3", false},
            {
                "status to d4 at least 40% goes via d1\nstatus to d4 at least 40% goes via d2\n"
                        + "status to d4 at least 40% goes via d3",
                true
            },
            {
                "status to d4 at least 40% goes via d1\nstatus to d4 at least 40% goes via d2\n"
                        + "status to d4 at least 40% goes via d2 or d3",
                false
            },
            {"status to d4 goes via d1 or d2\nnothing goes via d1", false},
            {"status to d4 goes via d1\nnothing goes via d1", true},
            {"status to d1 goes direct\nstatus to d1 goes via d2 while group g-0-1 is full", false},
            {"status to d1 goes via d2 while d3 is cold\nstatus to d1 goes via d3 while d3 is draining", false},
            {"status to d1 goes via d2 while d3 is cold\nstatus to d1 goes direct while d2 is cold", true},
            {"status to d1 goes direct\nslot to d1 goes via d2", false}
        };
    }

    @Test(dataProvider = "expectationPairs")
    public void findsContradictions(String expectations, boolean contradictory) throws Exception {
        assertEquals(
                !contradictions(expectations).isEmpty(),
                contradictory,
                contradictions(expectations).toString());
    }

    /** Compares with a search through all first rings and final states of all contacts in all states. */
    @Test
    public void contradictionsAgreeWithExhaustiveSearch() {
        SplittableRandom random = new SplittableRandom(11);
        int contradictionCount = 0;
        for (int round = 0; round < 3000; round++) {
            Expectation first = randomExpectation(random, 1);
            Expectation second = randomExpectation(random, 2);
            boolean contradictory = !Contradictions.find(List.of(first, second)).isEmpty();
            assertEquals(contradictory, !compatible(first, second), first + " against " + second);
            contradictionCount += contradictory ? 1 : 0;
        }
        assertTrue(contradictionCount > 100, "found " + contradictionCount);
    }

    private static Expectation randomExpectation(SplittableRandom random, int line) {
        Set<Integer> via = new HashSet<>();
        for (int i = 1; i <= 3; i++) {
            if (random.nextInt(3) == 0) {
                via.add(i);
            }
        }
        Outcome outcome = switch (random.nextInt(4)) {
            case 0 -> new Outcome.Established();
            case 1 -> new Outcome.Deferred();
            default -> new Outcome.Routed(List.of(new Route(via)));
        };
        Quantifier quantifier = random.nextInt(3) == 0 ? Quantifier.NEVER : Quantifier.ALWAYS;
        List<Condition> conditions = new ArrayList<>();
        if (random.nextInt(2) == 0) {
            conditions.add(new Condition.Desk(
                    1 + random.nextInt(2), random.nextBoolean() ? Condition.State.COLD : Condition.State.DRAINING));
        }
        Set<Integer> destinations = random.nextBoolean() ? Set.of() : Set.of(4 + random.nextInt(2));
        return new Expectation(
                line, "drawn", random.nextInt(3) - 1, Set.of(), destinations, quantifier, 100, outcome, conditions);
    }

    /** Returns whether each contact that both apply to has a route that satisfies both, in each state of both. */
    private static boolean compatible(Expectation first, Expectation second) {
        for (int skill = 0; skill < 2; skill++) {
            for (int destination = 4; destination <= 5; destination++) {
                boolean bothApply = appliesTo(first, skill, destination) && appliesTo(second, skill, destination);
                if (bothApply && haveCommonState(first, second) && !haveCommonRoute(first, second)) {
                    return false;
                }
            }
        }
        return true;
    }

    private static boolean appliesTo(Expectation expectation, int skill, int destination) {
        return (expectation.skill() < 0 || expectation.skill() == skill)
                && (expectation.destinations().isEmpty()
                        || expectation.destinations().contains(destination));
    }

    private static boolean haveCommonState(Expectation first, Expectation second) {
        // Desks 1 and 2 are each ready, cold or draining; state 0 is the one without any fault.
        for (int state = 0; state < 9; state++) {
            if (appliesIn(first, state) && appliesIn(second, state)) {
                return true;
            }
        }
        return false;
    }

    private static boolean appliesIn(Expectation expectation, int state) {
        if (expectation.conditions().isEmpty()) {
            return state == 0;
        }
        Condition.Desk desk = (Condition.Desk) expectation.conditions().get(0);
        int deskState = desk.exchange() == 1 ? state % 3 : state / 3;
        return deskState == (desk.state() == Condition.State.COLD ? 1 : 2);
    }

    private static boolean haveCommonRoute(Expectation first, Expectation second) {
        for (int firstExchange = -1; firstExchange <= 3; firstExchange++) {
            for (int finalState = 0; finalState <= 2; finalState++) {
                if (satisfies(first, firstExchange, finalState) && satisfies(second, firstExchange, finalState)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** {@code firstExchange} is 0 for direct and -1 for no ring; final states are 0 established, 1 deferred, 2 abandoned. */
    private static boolean satisfies(Expectation expectation, int firstExchange, int finalState) {
        boolean matches = expectation.outcome() instanceof Outcome.Established
                ? finalState == 0
                : expectation.outcome() instanceof Outcome.Deferred
                        ? finalState == 1
                        : routeMatches((Outcome.Routed) expectation.outcome(), firstExchange);
        return matches == (expectation.quantifier() != Quantifier.NEVER);
    }

    private static boolean routeMatches(Outcome.Routed routed, int firstExchange) {
        Set<Integer> via = routed.routes().get(0).via();
        return via.isEmpty() ? firstExchange == 0 : via.contains(firstExchange);
    }
}
