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

/** A small world: exchange 0 has groups to 1, 2 and 3, none to 4; all have their own files. */
public class ExpectationCheckerTest {
    private static final String DESKS = "desk d0 is exchange 0 in north\ndesk d1 is exchange 1 in north\n"
            + "desk d2 is exchange 2 in north\ndesk d3 is exchange 3 in south\ndesk d4 is exchange 4 in south\n";

    private static ExchangeConfiguration site(int number, Map<Integer, Integer> groups) throws Exception {
        StringBuilder prefixes = new StringBuilder();
        StringBuilder lines = new StringBuilder();
        for (int i = 0; i < 5; i++) {
            prefixes.append("<prefix digits='+770")
                    .append(i)
                    .append("' exchange='")
                    .append(i)
                    .append("'/>");
        }
        groups.forEach((far, circuits) -> lines.append("<group name='g-")
                .append(Math.min(far, number))
                .append('-')
                .append(Math.max(far, number))
                .append("' far='")
                .append(far)
                .append("' circuits='")
                .append(circuits)
                .append("'/>"));
        return ExchangeFile.read(
                "test",
                ("<exchange xmlns='urn:martenslip:exchange:1' number='" + number
                                + "' region='north' seed='1'><listen host='127.0.0.1' udp='0'/><circuits uri='sip:c@127.0.0.1:9'/>"
                                + "<switch-list uri='sip:s@127.0.0.1:9' kept='k.xml'/><regions><region name='north'/><region name='south'/>"
                                + "</regions><skills usual='status'><skill name='status' value='1' width='1' answer-target-ms='1200' "
                                + "patience-ms='4000' mean-hold-ms='3000'/><skill name='slot' value='8' width='4' answer-target-ms='1200' "
                                + "patience-ms='4000' mean-hold-ms='3000' resource-priority='q735.1'/></skills><numbering>"
                                + prefixes
                                + "</numbering><groups trunk-context='t.example'>" + lines
                                + "</groups><limits most-rings='5' "
                                + "most-open='1000' come-back-ms='1000' silence-ms='600'/><rules release-ms='500' "
                                + "cold-share='0.3' warm-within-ms='10000' fall-multiple='3'/>"
                                + "<reports fields='allowed depth'/><peers/></exchange>")
                        .getBytes(StandardCharsets.UTF_8),
                Path.of("."));
    }

    private static Map<Integer, ExchangeConfiguration> world(Map<Integer, Integer> own) throws Exception {
        Map<Integer, ExchangeConfiguration> sites = new HashMap<>();
        sites.put(0, site(0, own));
        sites.put(1, site(1, Map.of(0, 30, 2, 30, 3, 30, 4, 30)));
        sites.put(2, site(2, Map.of(0, 30, 1, 30, 3, 30, 4, 30)));
        sites.put(3, site(3, Map.of(0, 30, 1, 30, 2, 30)));
        return sites;
    }

    private static final Map<Integer, Integer> OWN = Map.of(1, 30, 2, 30, 3, 30);

    private static List<ExpectationChecker.Result> check(Map<Integer, ExchangeConfiguration> sites, String lines)
            throws Exception {
        ExpectationFile.Contents read = ExpectationFile.read("test.expect", DESKS + lines, sites.get(0));
        ExpectationChecker check = new ExpectationChecker(sites, 0, read, RoutingPolicy::new);
        return read.expectations().stream().map(check::check).toList();
    }

    @DataProvider
    public Object[][] holding() {
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

    @Test(dataProvider = "holding")
    public void whatTheModuleDoesHolds(String line) throws Exception {
        ExpectationChecker.Result verdict = check(world(OWN), line).get(0);
        assertTrue(verdict.holds(), verdict.reason());
    }

    @DataProvider
    public Object[][] broken() {
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

    @Test(dataProvider = "broken")
    public void whatItDoesNotIsToldWithTheWayTaken(String line, String told) throws Exception {
        ExpectationChecker.Result verdict = check(world(OWN), line).get(0);
        assertFalse(verdict.holds());
        assertTrue(verdict.reason().contains(told), verdict.reason());
    }

    /** Faults planted in the configuration are told with the expectation that they break, and no other. */
    @Test
    public void aChangedConfigurationBreaksWhatItTouches() throws Exception {
        String lines = "status to d1 goes direct\nslot to d2 goes direct\nstatus to d3 goes direct\n"
                + "nothing goes via d3 while it is draining\nanything to d4 stands";
        assertTrue(check(world(OWN), lines).stream().allMatch(ExpectationChecker.Result::holds));
        List<ExpectationChecker.Result> noRoute = check(world(Map.of(2, 30, 3, 30)), lines);
        assertEquals(
                noRoute.stream()
                        .filter(one -> !one.holds())
                        .map(one -> one.expectation().text())
                        .toList(),
                List.of("status to d1 goes direct"));
        List<ExpectationChecker.Result> shrunk = check(world(Map.of(1, 30, 2, 2, 3, 30)), lines);
        assertEquals(
                shrunk.stream()
                        .filter(one -> !one.holds())
                        .map(one -> one.expectation().text())
                        .toList(),
                List.of("slot to d2 goes direct"));
    }

    @Test
    public void whatIsWeakIsFoundWithoutAnExpectation() throws Exception {
        Map<Integer, ExchangeConfiguration> sites = world(Map.of(3, 30));
        sites.remove(1);
        sites.remove(2);
        ExpectationFile.Contents read = ExpectationFile.read("test.expect", DESKS, sites.get(0));
        List<String> found = new ExpectationChecker(sites, 0, read, RoutingPolicy::new).findings();
        assertTrue(found.contains("d1 is reached by one tandem alone, d3"), found.toString());
        assertTrue(found.stream().anyMatch(one -> one.startsWith("nothing reaches d4")), found.toString());
        assertEquals(found.size(), 3, found.toString());
    }

    @DataProvider
    public Object[][] malformed() {
        return new Object[][] {
            {"status to d9x goes direct", "line 6, column 11: no desk or set is called d9x"},
            {"statu to d1 stands", "no skill is called statu; did you mean status?"},
            {"status to d1 goes sideways", "column 19"},
            {"status to d1 at least 200% stands", "over 100%"},
            {"status to d1 stands while group g-0-9 is full", "no group is called g-0-9; did you mean g-0-1?"},
            {"status to d1 stands while group g-0-1 has 31 free", "has 30 circuits in all"},
            {"status from d1 to d2 stands", "is not the exchange of this file"},
            {"status to d1 stands while it is cold", "it names no desk here"},
            {"desk d1 is exchange 1", "defined already"},
            {"desk q is exchange 77", "no number leads to exchange 77"}
        };
    }

    @Test(dataProvider = "malformed")
    public void aMalformedLineIsRefusedWithItsPlace(String line, String told) throws Exception {
        try {
            ExpectationFile.read("test.expect", DESKS + line, world(OWN).get(0));
        } catch (InvalidFileException e) {
            assertTrue(e.getMessage().contains(told), e.getMessage());
            return;
        }
        throw new AssertionError("taken: " + line);
    }

    private static List<Contradictions.Contradiction> contradictions(String lines) throws Exception {
        return Contradictions.find(ExpectationFile.read(
                        "test.expect",
                        DESKS + "set all = d1, d2, d3\n" + lines,
                        world(OWN).get(0))
                .expectations());
    }

    @DataProvider
    public Object[][] contradictory() {
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

    @Test(dataProvider = "contradictory")
    public void contradictionsAreFoundBeforeAnythingRuns(String lines, boolean found) throws Exception {
        assertEquals(
                !contradictions(lines).isEmpty(), found, contradictions(lines).toString());
    }

    /** Against brute force: all first ways and ends of all contacts in a state, with every expectation held to them. */
    @Test
    public void theFinderAgreesWithBruteForceOnSmallWorlds() {
        SplittableRandom chance = new SplittableRandom(11);
        int found = 0;
        for (int round = 0; round < 3000; round++) {
            Expectation one = drawn(chance, 1);
            Expectation other = drawn(chance, 2);
            boolean said = !Contradictions.find(List.of(one, other)).isEmpty();
            assertEquals(said, !possible(one, other), one + " against " + other);
            found += said ? 1 : 0;
        }
        assertTrue(found > 100, "found " + found);
    }

    private static Expectation drawn(SplittableRandom chance, int line) {
        Set<Integer> via = new HashSet<>();
        for (int i = 1; i <= 3; i++) {
            if (chance.nextInt(3) == 0) {
                via.add(i);
            }
        }
        Outcome outcome = switch (chance.nextInt(4)) {
            case 0 -> new Outcome.Established();
            case 1 -> new Outcome.Deferred();
            default -> new Outcome.Routed(List.of(new Route(via)));
        };
        Quantifier often = chance.nextInt(3) == 0 ? Quantifier.NEVER : Quantifier.ALWAYS;
        List<Condition> conditions = new ArrayList<>();
        if (chance.nextInt(2) == 0) {
            conditions.add(new Condition.Desk(
                    1 + chance.nextInt(2), chance.nextBoolean() ? Condition.State.COLD : Condition.State.DRAINING));
        }
        Set<Integer> to = chance.nextBoolean() ? Set.of() : Set.of(4 + chance.nextInt(2));
        return new Expectation(line, "drawn", chance.nextInt(3) - 1, Set.of(), to, often, 100, outcome, conditions);
    }

    /** True where no contact that both speak of is left without a way that suits both, in any state of both. */
    private static boolean possible(Expectation one, Expectation other) {
        for (int skill = 0; skill < 2; skill++) {
            for (int to = 4; to <= 5; to++) {
                boolean both = speaks(one, skill, to) && speaks(other, skill, to);
                if (both && sharedState(one, other) && !wayForBoth(one, other)) {
                    return false;
                }
            }
        }
        return true;
    }

    private static boolean speaks(Expectation one, int skill, int to) {
        return (one.skill() < 0 || one.skill() == skill)
                && (one.to().isEmpty() || one.to().contains(to));
    }

    private static boolean sharedState(Expectation one, Expectation other) {
        // Desks 1 and 2 are each right, cold or draining; nothing wrong at all is a state of its own.
        for (int state = 0; state < 9; state++) {
            if (demanded(one, state) && demanded(other, state)) {
                return true;
            }
        }
        return false;
    }

    private static boolean demanded(Expectation one, int state) {
        if (one.conditions().isEmpty()) {
            return state == 0;
        }
        Condition.Desk desk = (Condition.Desk) one.conditions().get(0);
        int of = desk.exchange() == 1 ? state % 3 : state / 3;
        return of == (desk.state() == Condition.State.COLD ? 1 : 2);
    }

    private static boolean wayForBoth(Expectation one, Expectation other) {
        for (int first = -1; first <= 3; first++) {
            for (int end = 0; end <= 2; end++) {
                if (suits(one, first, end) && suits(other, first, end)) {
                    return true;
                }
            }
        }
        return false;
    }

    /** A first ring, 0 direct and -1 none, and an end: 0 standing, 1 deferred, 2 abandoned. */
    private static boolean suits(Expectation one, int first, int end) {
        boolean is = one.outcome() instanceof Outcome.Established
                ? end == 0
                : one.outcome() instanceof Outcome.Deferred ? end == 1 : goes((Outcome.Routed) one.outcome(), first);
        return is == (one.often() != Quantifier.NEVER);
    }

    private static boolean goes(Outcome.Routed goes, int first) {
        Set<Integer> via = goes.routes().get(0).via();
        return via.isEmpty() ? first == 0 : via.contains(first);
    }
}
