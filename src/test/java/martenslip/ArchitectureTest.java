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

/** Which packages may depend on which, and where the system clock may be read. */
public class ArchitectureTest {
    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("martenslip");

    private final Set<String> packages = all.stream()
            .flatMap(javaClass -> Stream.concat(
                    Stream.of(javaClass),
                    javaClass.getDirectDependenciesFromSelf().stream().map(Dependency::getTargetClass)))
            .map(JavaClass::getPackageName)
            .collect(Collectors.toSet());

    /** A rule on a package without classes would forbid nothing, so every package named in a rule is checked here. */
    private String requirePackage(String identifier) {
        PackageMatcher matcher = PackageMatcher.of(identifier);
        assertTrue(packages.stream().anyMatch(matcher::matches), "no class in " + identifier);
        return identifier;
    }

    private DescribedPredicate<JavaClass> inPackages(String... identifiers) {
        return resideInAnyPackage(
                Stream.of(identifiers).map(this::requirePackage).toArray(String[]::new));
    }

    private String classNames(String... names) {
        for (String name : names) {
            assertTrue(
                    all.stream().anyMatch(javaClass -> javaClass.getSimpleName().equals(name)), "no class " + name);
        }
        return String.join("|", names);
    }

    @Test
    public void packageNameWithoutClassesIsRejected() {
        for (String missing :
                new String[] {"martenslip.none", "martenslip.none..", "martenslip.platform.none", "none.."}) {
            assertThrows(AssertionError.class, () -> inPackages("martenslip.control", missing));
        }
        assertThrows(AssertionError.class, () -> classNames("Main", "NoSuchClass"));
    }

    @Test
    public void layersDependDownward() {
        Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage(requirePackage("martenslip.."))
                .layer("control")
                .definedBy(inPackages("martenslip.control"))
                .layer("module")
                .definedBy(inPackages("martenslip"))
                .layer("simulatorprotocol")
                .definedBy(inPackages("martenslip.simulatorprotocol"))
                .layer("eventloop")
                .definedBy(inPackages("martenslip.eventloop"))
                .layer("expect")
                .definedBy(inPackages("martenslip.expect"))
                .layer("watchdog")
                .definedBy(inPackages("martenslip.watchdog"))
                .layer("tracking")
                .definedBy(inPackages("martenslip.tracking"))
                .layer("liveness")
                .definedBy(inPackages("martenslip.liveness"))
                .layer("sip")
                .definedBy(inPackages("martenslip.sip.."))
                .layer("configuration")
                .definedBy(inPackages("martenslip.configuration"))
                .layer("signaling")
                .definedBy(inPackages("martenslip.signaling"))
                .layer("exchange")
                .definedBy(inPackages("martenslip.exchange"))
                .layer("platform")
                .definedBy(inPackages("martenslip.platform.."))
                .layer("standin")
                .definedBy(inPackages("martenslip.standin"))
                .layer("verification")
                .definedBy(inPackages("martenslip.verification"))
                .layer("scenario")
                .definedBy(inPackages("martenslip.scenario"))
                .layer("cli")
                .definedBy(inPackages("martenslip.cli"))
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
    public void moduleDependsOnlyOnItsInterface() {
        classes()
                .that(inPackages("martenslip"))
                .should()
                .onlyDependOnClassesThat(
                        inPackages("martenslip", "martenslip.control", "java.util..", "java.nio", "java.lang.."))
                .check(all);
    }

    @Test
    public void decisionPackagesDependOnlyOnTheInterface() {
        for (String packageName : new String[] {"martenslip.watchdog", "martenslip.tracking", "martenslip.liveness"}) {
            classes()
                    .that(inPackages(packageName))
                    .should()
                    .onlyDependOnClassesThat(
                            inPackages(packageName, "martenslip.control", "java.util..", "java.lang.."))
                    .check(all);
            noClasses()
                    .that(inPackages(packageName))
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .check(all);
        }
    }

    @Test
    public void simulatorProtocolUsesNoLibrary() {
        noClasses()
                .that(inPackages("martenslip.simulatorprotocol", "martenslip.control", "martenslip"))
                .should()
                .dependOnClassesThat(not(inPackages("martenslip..", "java..")))
                .check(all);
        noClasses()
                .that()
                .haveSimpleName(classNames("Main"))
                .should()
                .dependOnClassesThat(inPackages("picocli..", "org.slf4j.."))
                .check(all);
    }

    @Test
    public void platformUsesOnlyItsJsonLibrary() {
        noClasses()
                .that(inPackages("martenslip.platform.."))
                .should()
                .dependOnClassesThat(not(inPackages("martenslip..", "java..", "com.fasterxml.jackson.core..")))
                .check(all);
        noClasses()
                .that(inPackages("martenslip.platform.."))
                .should()
                .dependOnClassesThat(inPackages(
                        "martenslip",
                        "martenslip.cli",
                        "martenslip.configuration",
                        "martenslip.exchange",
                        "martenslip.signaling",
                        "martenslip.sip.transaction",
                        "martenslip.sip.dialog"))
                .check(all);
    }

    /**
     * The contact table receives the events that the socket packages deliver; none of these packages depends on
     * another, and the contact table depends on none.
     */
    @Test
    public void platformPackagesMeetOnlyInTheContactTable() {
        String[] parts = {"caller", "switchconnection", "journal", "peer"};
        for (String part : parts) {
            noClasses()
                    .that(inPackages("martenslip.platform.contact"))
                    .should()
                    .dependOnClassesThat(inPackages("martenslip.platform." + part))
                    .check(all);
            for (String other : parts) {
                if (!other.equals(part)) {
                    noClasses()
                            .that(inPackages("martenslip.platform." + part))
                            .should()
                            .dependOnClassesThat(inPackages("martenslip.platform." + other))
                            .check(all);
                }
            }
        }
    }

    @Test
    public void sipLayersDependDownward() {
        noClasses()
                .that(inPackages("martenslip.sip.message"))
                .should()
                .dependOnClassesThat(
                        inPackages("martenslip.sip.transport", "martenslip.sip.transaction", "martenslip.sip.dialog"))
                .check(all);
        noClasses()
                .that(inPackages("martenslip.sip.transport"))
                .should()
                .dependOnClassesThat(inPackages("martenslip.sip.transaction", "martenslip.sip.dialog"))
                .check(all);
        noClasses()
                .that(inPackages("martenslip.sip.transaction"))
                .should()
                .dependOnClassesThat(inPackages("martenslip.sip.dialog"))
                .check(all);
    }

    @Test
    public void systemClockIsReadInFewClasses() {
        noClasses()
                .that(inPackages(
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
