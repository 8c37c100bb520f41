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

/** Reads a file of expectations and resolves its names against the configuration of an exchange. */
public final class ExpectationFile {
    private final ExchangeConfiguration configuration;
    private final List<FileError> errors = new ArrayList<>();
    private final Map<String, Integer> exchangesByName = new LinkedHashMap<>();
    private final Map<String, Set<Integer>> exchangeSetsByName = new LinkedHashMap<>();
    private final Map<Integer, String> regionsByExchange = new LinkedHashMap<>();
    private final List<Expectation> expectations = new ArrayList<>();

    private ExpectationFile(ExchangeConfiguration configuration) {
        this.configuration = configuration;
    }

    /** The expectations of a file, and the names and regions that it defines for desks, by exchange number. */
    public record Contents(List<Expectation> expectations, Map<Integer, String> names, Map<Integer, String> regions) {}

    /**
     * Reads the text of a file.
     *
     * @param fileName name of the file in error messages
     * @throws InvalidFileException with all errors that were found, by line and column
     */
    public static Contents read(String fileName, String text, ExchangeConfiguration configuration)
            throws InvalidFileException {
        ExpectationFile reader = new ExpectationFile(configuration);
        ExpectLexer lexer = new ExpectLexer(CharStreams.fromString(text));
        ExpectParser parser = new ExpectParser(new CommonTokenStream(lexer));
        for (Recognizer<?, ?> recognizer : List.of(lexer, parser)) {
            recognizer.removeErrorListeners();
            recognizer.addErrorListener(reader.syntaxErrorListener());
        }
        ExpectParser.FileContext tree = parser.file();
        String[] lines = text.split("\r?\n", -1);
        if (reader.errors.isEmpty()) {
            // A name may be used above its definition, so all definitions are read first.
            tree.statement().forEach(reader::readDefinition);
            tree.statement().forEach(statement -> reader.readExpectation(statement, lines));
        }
        if (!reader.errors.isEmpty()) {
            throw new InvalidFileException(fileName, reader.errors);
        }
        Map<Integer, String> namesByExchange = new LinkedHashMap<>();
        reader.exchangesByName.forEach((name, exchange) -> namesByExchange.putIfAbsent(exchange, name));
        return new Contents(reader.expectations, namesByExchange, reader.regionsByExchange);
    }

    private BaseErrorListener syntaxErrorListener() {
        return new BaseErrorListener() {
            @Override
            public void syntaxError(
                    Recognizer<?, ?> recognizer,
                    Object symbol,
                    int line,
                    int column,
                    String message,
                    RecognitionException e) {
                errors.add(new FileError(line, "column " + (column + 1), message.replace("\\n", "end of line")));
            }
        };
    }

    private void addError(Token token, String reason) {
        errors.add(new FileError(token.getLine(), "column " + (token.getCharPositionInLine() + 1), reason));
    }

    private void readDefinition(ExpectParser.StatementContext statement) {
        if (statement instanceof ExpectParser.DeskDefinitionContext desk) {
            int exchange = Integer.parseInt(desk.number.getText());
            if (configuration.numbering().firstPrefixOf(exchange) == null) {
                addError(desk.number, "no number leads to exchange " + exchange);
            } else if (desk.region != null && !configuration.regions().contains(desk.region.getText())) {
                addError(
                        desk.region,
                        "no region is called " + desk.region.getText()
                                + suggestion(desk.region.getText(), configuration.regions()));
            } else if (exchangesByName.putIfAbsent(desk.name.getText(), exchange) != null) {
                addError(desk.name, desk.name.getText() + " is defined already");
            } else if (desk.region != null) {
                regionsByExchange.put(exchange, desk.region.getText());
            }
        } else if (statement instanceof ExpectParser.SetDefinitionContext set) {
            Set<Integer> exchanges = new LinkedHashSet<>();
            for (int i = 1; i < set.NAME().size(); i++) {
                exchanges.addAll(exchanges(set.NAME(i).getSymbol()));
            }
            if (exchangeSetsByName.putIfAbsent(set.name.getText(), exchanges) != null) {
                addError(set.name, set.name.getText() + " is defined already");
            }
        }
    }

    /** Returns the exchanges of a desk or a set; where the name is neither, records an error and returns none. */
    private Set<Integer> exchanges(Token name) {
        Integer exchange = exchangesByName.get(name.getText());
        if (exchange != null) {
            return Set.of(exchange);
        }
        Set<Integer> exchangeSet = exchangeSetsByName.get(name.getText());
        if (exchangeSet != null) {
            return exchangeSet;
        }
        List<String> knownNames = new ArrayList<>(exchangesByName.keySet());
        knownNames.addAll(exchangeSetsByName.keySet());
        addError(name, "no desk or set is called " + name.getText() + suggestion(name.getText(), knownNames));
        return Set.of();
    }

    /** Returns a hint at the known name that is closest to an unknown one; empty where none is close. */
    private static String suggestion(String unknown, List<String> knownNames) {
        return knownNames.stream()
                .min(Comparator.comparingInt(candidate -> editDistance(unknown, candidate)))
                .filter(candidate -> editDistance(unknown, candidate) <= Math.max(2, unknown.length() / 4))
                .map(candidate -> "; did you mean " + candidate + "?")
                .orElse("");
    }

    /** Returns the Levenshtein distance: how many letters to insert, delete or replace. */
    private static int editDistance(String first, String second) {
        int[] distances = new int[second.length() + 1];
        for (int secondIndex = 0; secondIndex <= second.length(); secondIndex++) {
            distances[secondIndex] = secondIndex;
        }
        for (int firstIndex = 1; firstIndex <= first.length(); firstIndex++) {
            int diagonal = distances[0];
            distances[0] = firstIndex;
            for (int secondIndex = 1; secondIndex <= second.length(); secondIndex++) {
                int substituted = diagonal + (first.charAt(firstIndex - 1) == second.charAt(secondIndex - 1) ? 0 : 1);
                diagonal = distances[secondIndex];
                distances[secondIndex] =
                        Math.min(substituted, Math.min(distances[secondIndex], distances[secondIndex - 1]) + 1);
            }
        }
        return distances[second.length()];
    }

    private void readExpectation(ExpectParser.StatementContext statement, String[] lines) {
        if (!(statement instanceof ExpectParser.ExpectationContext expectation)) {
            return;
        }
        ExpectParser.SubjectContext subject = expectation.subject();
        boolean nothing = subject.scope != null && subject.scope.getText().equals("nothing");
        Outcome outcome = outcome(expectation.outcome());
        Quantifier quantifier = quantifier(expectation.quantifier());
        if (nothing && expectation.quantifier() != null) {
            addError(expectation.quantifier().getStart(), "'nothing' already means never");
        }
        List<Condition> conditions = new ArrayList<>();
        if (expectation.conditions() != null) {
            expectation
                    .conditions()
                    .condition()
                    .forEach(condition -> conditions.addAll(conditionsOf(condition, outcome)));
        }
        int line = expectation.getStart().getLine();
        Set<Integer> origins = subject.origin == null ? Set.of() : exchanges(subject.origin);
        if (subject.origin != null && !origins.isEmpty() && !origins.contains(configuration.number())) {
            addError(
                    subject.origin,
                    subject.origin.getText() + " is not the exchange of this file, which is " + configuration.number());
        }
        int percent = expectation.quantifier() instanceof ExpectParser.AtLeastContext atLeast
                ? Integer.parseInt(atLeast.NUMBER().getText())
                : 100;
        if (percent > 100) {
            addError(expectation.quantifier().getStart(), "over 100%");
        }
        expectations.add(new Expectation(
                line,
                lines[line - 1].trim(),
                skillIndex(subject),
                origins,
                subject.destination == null ? Set.of() : new TreeSet<>(exchanges(subject.destination)),
                nothing ? Quantifier.NEVER : quantifier,
                percent,
                outcome,
                conditions));
    }

    /** Returns the index of the skill, or -1 for contacts of any skill. */
    private int skillIndex(ExpectParser.SubjectContext subject) {
        if (subject.skill == null) {
            return -1;
        }
        List<String> names =
                configuration.skills().stream().map(skill -> skill.name()).toList();
        int index = names.indexOf(subject.skill.getText());
        if (index < 0) {
            addError(
                    subject.skill,
                    "no skill is called " + subject.skill.getText() + suggestion(subject.skill.getText(), names));
        }
        return index;
    }

    private static Quantifier quantifier(ExpectParser.QuantifierContext quantifier) {
        if (quantifier instanceof ExpectParser.NeverContext) {
            return Quantifier.NEVER;
        }
        if (quantifier instanceof ExpectParser.MayContext) {
            return Quantifier.MAY;
        }
        return quantifier instanceof ExpectParser.AtLeastContext ? Quantifier.AT_LEAST : Quantifier.ALWAYS;
    }

    private Outcome outcome(ExpectParser.OutcomeContext outcome) {
        if (outcome instanceof ExpectParser.GoesContext goes) {
            return new Outcome.Routed(goes.route().stream().map(this::route).toList());
        }
        return outcome instanceof ExpectParser.StandsContext ? new Outcome.Established() : new Outcome.Deferred();
    }

    private Route route(ExpectParser.RouteContext route) {
        Set<Integer> via = new TreeSet<>();
        if (route instanceof ExpectParser.ViaContext tandems) {
            tandems.NAME().forEach(name -> via.addAll(exchanges(name.getSymbol())));
        }
        return new Route(via);
    }

    private List<Condition> conditionsOf(ExpectParser.ConditionContext condition, Outcome outcome) {
        if (condition instanceof ExpectParser.DeskStateContext desk) {
            return switchConditions(exchanges(desk.NAME().getSymbol()), desk.state);
        }
        if (condition instanceof ExpectParser.ItsStateContext its) {
            Set<Integer> via = new TreeSet<>();
            if (outcome instanceof Outcome.Routed routed) {
                routed.routes().forEach(route -> via.addAll(route.via()));
            }
            if (via.isEmpty()) {
                addError(its.getStart(), "'it' refers to no desk: the outcome has no via");
            }
            return switchConditions(via, its.state);
        }
        if (condition instanceof ExpectParser.GroupStateContext group) {
            return groupConditions(
                    group.NAME().getSymbol(), group.state.getText().equals("gone") ? -1 : 0);
        }
        if (condition instanceof ExpectParser.GroupFreeContext group) {
            return groupConditions(
                    group.NAME().getSymbol(), Integer.parseInt(group.NUMBER().getText()));
        }
        Token region = ((ExpectParser.RegionCutContext) condition).NAME().getSymbol();
        if (!configuration.regions().contains(region.getText())) {
            addError(
                    region,
                    "no region is called " + region.getText() + suggestion(region.getText(), configuration.regions()));
        }
        return List.of(new Condition.Cut(region.getText()));
    }

    private static List<Condition> switchConditions(Set<Integer> exchanges, Token state) {
        Condition.State switchState = Condition.State.valueOf(state.getText().toUpperCase(java.util.Locale.ROOT));
        return exchanges.stream()
                .<Condition>map(exchange -> new Condition.Desk(exchange, switchState))
                .toList();
    }

    private List<Condition> groupConditions(Token name, int freeCircuits) {
        List<String> names = configuration.groups().values().stream()
                .map(ExchangeConfiguration.Group::name)
                .toList();
        if (!names.contains(name.getText())) {
            addError(name, "no group is called " + name.getText() + suggestion(name.getText(), names));
            return List.of();
        }
        int circuits = configuration.groups().values().stream()
                .filter(group -> group.name().equals(name.getText()))
                .findFirst()
                .orElseThrow()
                .circuits();
        if (freeCircuits > circuits) {
            addError(name, name.getText() + " has " + circuits + " circuits in all");
        }
        return List.of(new Condition.Group(name.getText(), freeCircuits));
    }
}
