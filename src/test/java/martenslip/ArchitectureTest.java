package martenslip;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static org.testng.Assert.assertThrows;
import static org.testng.Assert.assertTrue;

import com.tngtech.archunit.base.DescribedPredicate;
import com.tngtech.archunit.core.domain.Dependency;
import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.PackageMatcher;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.testng.annotations.Test;

public class ArchitectureTest {
    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("martenslip");

    private final Set<String> packages = all.stream()
            .flatMap(one -> Stream.concat(
                    Stream.of(one), one.getDirectDependenciesFromSelf().stream().map(Dependency::getTargetClass)))
            .map(JavaClass::getPackageName)
            .collect(Collectors.toSet());

    /** A rule about a package without classes forbids nothing, so every package a rule names goes through here. */
    private String named(String identifier) {
        PackageMatcher matcher = PackageMatcher.of(identifier);
        assertTrue(packages.stream().anyMatch(matcher::matches), "no class in " + identifier);
        return identifier;
    }

    private DescribedPredicate<JavaClass> in(String... identifiers) {
        return resideInAnyPackage(Stream.of(identifiers).map(this::named).toArray(String[]::new));
    }

    private String classNames(String... names) {
        for (String name : names) {
            assertTrue(all.stream().anyMatch(one -> one.getSimpleName().equals(name)), "no class " + name);
        }
        return String.join("|", names);
    }

    @Test
    public void aNameWithoutClassesIsRefused() {
        for (String none :
                new String[] {"martenslip.none", "martenslip.none..", "martenslip.platform.none", "none.."}) {
            assertThrows(AssertionError.class, () -> in("martenslip.control", none));
        }
        assertThrows(AssertionError.class, () -> classNames("Main", "NoSuchClass"));
    }

    @Test
    public void arrowsPointDown() {
        Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage(named("martenslip.."))
                .layer("control")
                .definedBy(in("martenslip.control"))
                .layer("module")
                .definedBy(in("martenslip"))
                .layer("simulatorprotocol")
                .definedBy(in("martenslip.simulatorprotocol"))
                .layer("eventloop")
                .definedBy(in("martenslip.eventloop"))
                .layer("expect")
                .definedBy(in("martenslip.expect"))
                .layer("watchdog")
                .definedBy(in("martenslip.watchdog"))
                .layer("tracking")
                .definedBy(in("martenslip.tracking"))
                .layer("liveness")
                .definedBy(in("martenslip.liveness"))
                .layer("sip")
                .definedBy(in("martenslip.sip.."))
                .layer("configuration")
                .definedBy(in("martenslip.configuration"))
                .layer("signaling")
                .definedBy(in("martenslip.signaling"))
                .layer("exchange")
                .definedBy(in("martenslip.exchange"))
                .layer("platform")
                .definedBy(in("martenslip.platform.."))
                .layer("standin")
                .definedBy(in("martenslip.standin"))
                .layer("verification")
                .definedBy(in("martenslip.verification"))
                .layer("scenario")
                .definedBy(in("martenslip.scenario"))
                .layer("cli")
                .definedBy(in("martenslip.cli"))
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("scenario")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("verification")
                .mayOnlyBeAccessedByLayers("scenario", "cli")
                .whereLayer("standin")
                .mayOnlyBeAccessedByLayers("scenario", "cli")
                .whereLayer("expect")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("platform")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("watchdog")
                .mayOnlyBeAccessedByLayers("exchange")
                .whereLayer("tracking")
                .mayOnlyBeAccessedByLayers("exchange", "platform")
                .whereLayer("liveness")
                .mayOnlyBeAccessedByLayers("platform")
                .whereLayer("exchange")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("module")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("simulatorprotocol")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("signaling")
                .mayOnlyBeAccessedByLayers("exchange", "standin", "verification", "scenario", "cli")
                .check(all);
    }

    @Test
    public void theModuleKnowsOnlyItsInterface() {
        classes()
                .that(in("martenslip"))
                .should()
                .onlyDependOnClassesThat(
                        in("martenslip", "martenslip.control", "java.util..", "java.nio", "java.lang.."))
                .check(all);
    }

    @Test
    public void decisionsBesideTheModuleKnowOnlyItsInterface() {
        for (String decides : new String[] {"martenslip.watchdog", "martenslip.tracking", "martenslip.liveness"}) {
            classes()
                    .that(in(decides))
                    .should()
                    .onlyDependOnClassesThat(in(decides, "martenslip.control", "java.util..", "java.lang.."))
                    .check(all);
            noClasses()
                    .that(in(decides))
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .check(all);
        }
    }

    @Test
    public void theDrillLoadsNoLibrary() {
        noClasses()
                .that(in("martenslip.simulatorprotocol", "martenslip.control", "martenslip"))
                .should()
                .dependOnClassesThat(not(in("martenslip..", "java..")))
                .check(all);
        noClasses()
                .that()
                .haveSimpleName(classNames("Main"))
                .should()
                .dependOnClassesThat(in("picocli..", "org.slf4j.."))
                .check(all);
    }

    @Test
    public void theControllerInServiceLoadsOnlyItsJson() {
        noClasses()
                .that(in("martenslip.platform.."))
                .should()
                .dependOnClassesThat(not(in("martenslip..", "java..", "com.fasterxml.jackson.core..")))
                .check(all);
        noClasses()
                .that(in("martenslip.platform.."))
                .should()
                .dependOnClassesThat(in(
                        "martenslip",
                        "martenslip.cli",
                        "martenslip.configuration",
                        "martenslip.exchange",
                        "martenslip.signaling",
                        "martenslip.sip.transaction",
                        "martenslip.sip.dialog"))
                .check(all);
    }

    /** The desk takes what the sockets' packages bring; none of these knows another, and the desk knows none. */
    @Test
    public void partsOfTheControllerInServiceMeetAtTheDesk() {
        String[] parts = {"caller", "switchconnection", "journal", "peer"};
        for (String part : parts) {
            noClasses()
                    .that(in("martenslip.platform.contact"))
                    .should()
                    .dependOnClassesThat(in("martenslip.platform." + part))
                    .check(all);
            for (String other : parts) {
                if (!other.equals(part)) {
                    noClasses()
                            .that(in("martenslip.platform." + part))
                            .should()
                            .dependOnClassesThat(in("martenslip.platform." + other))
                            .check(all);
                }
            }
        }
    }

    @Test
    public void layersOfSipPointDown() {
        noClasses()
                .that(in("martenslip.sip.message"))
                .should()
                .dependOnClassesThat(
                        in("martenslip.sip.transport", "martenslip.sip.transaction", "martenslip.sip.dialog"))
                .check(all);
        noClasses()
                .that(in("martenslip.sip.transport"))
                .should()
                .dependOnClassesThat(in("martenslip.sip.transaction", "martenslip.sip.dialog"))
                .check(all);
        noClasses()
                .that(in("martenslip.sip.transaction"))
                .should()
                .dependOnClassesThat(in("martenslip.sip.dialog"))
                .check(all);
    }

    @Test
    public void timeEntersAtFewPlaces() {
        noClasses()
                .that(in(
                        "martenslip",
                        "martenslip.exchange",
                        "martenslip.sip.transaction",
                        "martenslip.sip.dialog",
                        "martenslip.sip.message",
                        "martenslip.eventloop",
                        "martenslip.platform.contact",
                        "martenslip.platform.json"))
                .and()
                .haveNameNotMatching(".*\\.(" + classNames("Exchange", "ThreadSupervisor", "StallInjector", "EventLoop")
                        + ")(\\$.*)?")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(all);
    }
}
