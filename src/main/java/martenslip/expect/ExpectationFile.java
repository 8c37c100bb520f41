package martenslip.expect;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import martenslip.configuration.ExchangeConfiguration;
import martenslip.configuration.FileError;
import martenslip.configuration.InvalidFileException;
import martenslip.expect.Expectation.Condition;
import martenslip.expect.Expectation.Outcome;
import martenslip.expect.Expectation.Quantifier;
import martenslip.expect.Expectation.Route;
import org.antlr.v4.runtime.BaseErrorListener;
import org.antlr.v4.runtime.CharStreams;
import org.antlr.v4.runtime.CommonTokenStream;
import org.antlr.v4.runtime.RecognitionException;
import org.antlr.v4.runtime.Recognizer;
import org.antlr.v4.runtime.Token;

/** Reads a file of expectations against an exchange's file; all faults are told at once, by line and column. */
public final class ExpectationFile {
    private final ExchangeConfiguration site;
    private final List<FileError> faults = new ArrayList<>();
    private final Map<String, Integer> desks = new LinkedHashMap<>();
    private final Map<String, Set<Integer>> sets = new LinkedHashMap<>();
    private final Map<Integer, String> regions = new LinkedHashMap<>();
    private final List<Expectation> expectations = new ArrayList<>();

    private ExpectationFile(ExchangeConfiguration site) {
        this.site = site;
    }

    /** Names and regions of desks as the file defines them, by exchange. */
    public record Contents(List<Expectation> expectations, Map<Integer, String> names, Map<Integer, String> regions) {}

    public static Contents read(String file, String text, ExchangeConfiguration site) throws InvalidFileException {
        ExpectationFile reader = new ExpectationFile(site);
        ExpectLexer lexer = new ExpectLexer(CharStreams.fromString(text));
        ExpectParser parser = new ExpectParser(new CommonTokenStream(lexer));
        for (Recognizer<?, ?> one : List.of(lexer, parser)) {
            one.removeErrorListeners();
            one.addErrorListener(reader.listener());
        }
        ExpectParser.FileContext tree = parser.file();
        String[] lines = text.split("\r?\n", -1);
        if (reader.faults.isEmpty()) {
            // Names may stand below their use: they are gathered before any is looked up.
            tree.statement().forEach(reader::define);
            tree.statement().forEach(one -> reader.expect(one, lines));
        }
        if (!reader.faults.isEmpty()) {
            throw new InvalidFileException(file, reader.faults);
        }
        Map<Integer, String> names = new LinkedHashMap<>();
        reader.desks.forEach((name, exchange) -> names.putIfAbsent(exchange, name));
        return new Contents(reader.expectations, names, reader.regions);
    }

    private BaseErrorListener listener() {
        return new BaseErrorListener() {
            @Override
            public void syntaxError(
                    Recognizer<?, ?> recognizer,
                    Object symbol,
                    int line,
                    int column,
                    String message,
                    RecognitionException e) {
                faults.add(new FileError(line, "column " + (column + 1), message.replace("\\n", "the line's end")));
            }
        };
    }

    private void fault(Token at, String what) {
        faults.add(new FileError(at.getLine(), "column " + (at.getCharPositionInLine() + 1), what));
    }

    private void define(ExpectParser.StatementContext statement) {
        if (statement instanceof ExpectParser.DeskContext desk) {
            int exchange = Integer.parseInt(desk.number.getText());
            if (site.numbering().firstPrefixOf(exchange) == null) {
                fault(desk.number, "no number leads to exchange " + exchange);
            } else if (desk.region != null && !site.regions().contains(desk.region.getText())) {
                fault(
                        desk.region,
                        "no region is called " + desk.region.getText()
                                + nearest(desk.region.getText(), site.regions()));
            } else if (desks.putIfAbsent(desk.name.getText(), exchange) != null) {
                fault(desk.name, desk.name.getText() + " is defined already");
            } else if (desk.region != null) {
                regions.put(exchange, desk.region.getText());
            }
        } else if (statement instanceof ExpectParser.SetOfContext set) {
            Set<Integer> all = new LinkedHashSet<>();
            for (int i = 1; i < set.NAME().size(); i++) {
                all.addAll(exchanges(set.NAME(i).getSymbol()));
            }
            if (sets.putIfAbsent(set.name.getText(), all) != null) {
                fault(set.name, set.name.getText() + " is defined already");
            }
        }
    }

    /** The exchanges of a desk or a set; none, and a fault, where the name is neither. */
    private Set<Integer> exchanges(Token name) {
        Integer one = desks.get(name.getText());
        if (one != null) {
            return Set.of(one);
        }
        Set<Integer> many = sets.get(name.getText());
        if (many != null) {
            return many;
        }
        List<String> known = new ArrayList<>(desks.keySet());
        known.addAll(sets.keySet());
        fault(name, "no desk or set is called " + name.getText() + nearest(name.getText(), known));
        return Set.of();
    }

    private static String nearest(String wrong, List<String> known) {
        return known.stream()
                .min(Comparator.comparingInt(one -> distance(wrong, one)))
                .filter(one -> distance(wrong, one) <= Math.max(2, wrong.length() / 4))
                .map(one -> "; did you mean " + one + "?")
                .orElse("");
    }

    /** Letters to put in, take out or change (Levenshtein). */
    private static int distance(String a, String b) {
        int[] row = new int[b.length() + 1];
        for (int j = 0; j <= b.length(); j++) {
            row[j] = j;
        }
        for (int i = 1; i <= a.length(); i++) {
            int corner = row[0];
            row[0] = i;
            for (int j = 1; j <= b.length(); j++) {
                int same = corner + (a.charAt(i - 1) == b.charAt(j - 1) ? 0 : 1);
                corner = row[j];
                row[j] = Math.min(same, Math.min(row[j], row[j - 1]) + 1);
            }
        }
        return row[b.length()];
    }

    private void expect(ExpectParser.StatementContext statement, String[] lines) {
        if (!(statement instanceof ExpectParser.ExpectationContext written)) {
            return;
        }
        ExpectParser.SubjectContext subject = written.subject();
        boolean nothing = subject.what != null && subject.what.getText().equals("nothing");
        Outcome outcome = outcome(written.outcome());
        Quantifier often = often(written.often());
        if (nothing && written.often() != null) {
            fault(written.often().getStart(), "nothing is never already");
        }
        List<Condition> conditions = new ArrayList<>();
        if (written.conditions() != null) {
            written.conditions().condition().forEach(one -> conditions.addAll(condition(one, outcome)));
        }
        int line = written.getStart().getLine();
        Set<Integer> from = subject.from == null ? Set.of() : exchanges(subject.from);
        if (subject.from != null && !from.isEmpty() && !from.contains(site.number())) {
            fault(
                    subject.from,
                    subject.from.getText() + " is not the exchange of this file, which is " + site.number());
        }
        int percent = written.often() instanceof ExpectParser.AtLeastContext least
                ? Integer.parseInt(least.NUMBER().getText())
                : 100;
        if (percent > 100) {
            fault(written.often().getStart(), "over 100%");
        }
        expectations.add(new Expectation(
                line,
                lines[line - 1].trim(),
                skill(subject),
                from,
                subject.to == null ? Set.of() : new TreeSet<>(exchanges(subject.to)),
                nothing ? Quantifier.NEVER : often,
                percent,
                outcome,
                conditions));
    }

    private int skill(ExpectParser.SubjectContext subject) {
        if (subject.skill == null) {
            return -1;
        }
        List<String> names = site.skills().stream().map(one -> one.name()).toList();
        int at = names.indexOf(subject.skill.getText());
        if (at < 0) {
            fault(
                    subject.skill,
                    "no skill is called " + subject.skill.getText() + nearest(subject.skill.getText(), names));
        }
        return at;
    }

    private static Quantifier often(ExpectParser.OftenContext often) {
        if (often instanceof ExpectParser.NeverContext) {
            return Quantifier.NEVER;
        }
        if (often instanceof ExpectParser.MayContext) {
            return Quantifier.MAY;
        }
        return often instanceof ExpectParser.AtLeastContext ? Quantifier.AT_LEAST : Quantifier.ALWAYS;
    }

    private Outcome outcome(ExpectParser.OutcomeContext written) {
        if (written instanceof ExpectParser.GoesContext goes) {
            return new Outcome.Routed(goes.route().stream().map(this::route).toList());
        }
        return written instanceof ExpectParser.StandsContext ? new Outcome.Established() : new Outcome.Deferred();
    }

    private Route route(ExpectParser.RouteContext written) {
        Set<Integer> via = new TreeSet<>();
        if (written instanceof ExpectParser.ViaContext tandems) {
            tandems.NAME().forEach(name -> via.addAll(exchanges(name.getSymbol())));
        }
        return new Route(via);
    }

    private List<Condition> condition(ExpectParser.ConditionContext written, Outcome outcome) {
        if (written instanceof ExpectParser.DeskStateContext desk) {
            return states(exchanges(desk.NAME().getSymbol()), desk.state);
        }
        if (written instanceof ExpectParser.ItsStateContext its) {
            Set<Integer> via = new TreeSet<>();
            if (outcome instanceof Outcome.Routed goes) {
                goes.routes().forEach(route -> via.addAll(route.via()));
            }
            if (via.isEmpty()) {
                fault(its.getStart(), "it names no desk here: the outcome has no via");
            }
            return states(via, its.state);
        }
        if (written instanceof ExpectParser.GroupStateContext group) {
            return group(group.NAME().getSymbol(), group.state.getText().equals("gone") ? -1 : 0);
        }
        if (written instanceof ExpectParser.GroupFreeContext group) {
            return group(
                    group.NAME().getSymbol(), Integer.parseInt(group.NUMBER().getText()));
        }
        Token region = ((ExpectParser.RegionCutContext) written).NAME().getSymbol();
        if (!site.regions().contains(region.getText())) {
            fault(region, "no region is called " + region.getText() + nearest(region.getText(), site.regions()));
        }
        return List.of(new Condition.Cut(region.getText()));
    }

    private static List<Condition> states(Set<Integer> exchanges, Token state) {
        Condition.State is = Condition.State.valueOf(state.getText().toUpperCase(java.util.Locale.ROOT));
        return exchanges.stream()
                .<Condition>map(one -> new Condition.Desk(one, is))
                .toList();
    }

    private List<Condition> group(Token name, int free) {
        List<String> names = site.groups().values().stream()
                .map(ExchangeConfiguration.Group::name)
                .toList();
        if (!names.contains(name.getText())) {
            fault(name, "no group is called " + name.getText() + nearest(name.getText(), names));
            return List.of();
        }
        int circuits = site.groups().values().stream()
                .filter(one -> one.name().equals(name.getText()))
                .findFirst()
                .orElseThrow()
                .circuits();
        if (free > circuits) {
            fault(name, name.getText() + " has " + circuits + " circuits in all");
        }
        return List.of(new Condition.Group(name.getText(), free));
    }
}
