package martenslip;

import static com.tngtech.archunit.base.DescribedPredicate.not;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAPackage;
import static com.tngtech.archunit.core.domain.JavaClass.Predicates.resideInAnyPackage;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures;
import org.testng.annotations.Test;

public class ArchitectureTest {
    private final JavaClasses all = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("martenslip");

    @Test
    public void arrowsPointDown() {
        Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInAnyPackage("martenslip..")
                .layer("control")
                .definedBy("martenslip.control")
                .layer("module")
                .definedBy("martenslip")
                .layer("drill")
                .definedBy("martenslip.drill")
                .layer("wheel")
                .definedBy("martenslip.wheel")
                .layer("expect")
                .definedBy("martenslip.expect")
                .layer("lookout")
                .definedBy("martenslip.lookout")
                .layer("roll")
                .definedBy("martenslip.roll")
                .layer("pulse")
                .definedBy("martenslip.pulse")
                .layer("sip")
                .definedBy("martenslip.sip..")
                .layer("provision")
                .definedBy("martenslip.provision")
                .layer("signal")
                .definedBy("martenslip.signal")
                .layer("exchange")
                .definedBy("martenslip.exchange")
                .layer("platform")
                .definedBy("martenslip.platform..")
                .layer("standin")
                .definedBy("martenslip.standin")
                .layer("proof")
                .definedBy("martenslip.proof")
                .layer("play")
                .definedBy("martenslip.play")
                .layer("cli")
                .definedBy("martenslip.cli")
                .whereLayer("cli")
                .mayNotBeAccessedByAnyLayer()
                .whereLayer("play")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("proof")
                .mayOnlyBeAccessedByLayers("play", "cli")
                .whereLayer("standin")
                .mayOnlyBeAccessedByLayers("play", "cli")
                .whereLayer("expect")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("platform")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("lookout")
                .mayOnlyBeAccessedByLayers("exchange")
                .whereLayer("roll")
                .mayOnlyBeAccessedByLayers("exchange", "platform")
                .whereLayer("pulse")
                .mayOnlyBeAccessedByLayers("platform")
                .whereLayer("exchange")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("module")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("drill")
                .mayOnlyBeAccessedByLayers("cli")
                .whereLayer("signal")
                .mayOnlyBeAccessedByLayers("exchange", "standin", "proof", "play", "cli")
                .check(all);
    }

    @Test
    public void theModuleKnowsOnlyItsInterface() {
        classes()
                .that()
                .resideInAPackage("martenslip")
                .should()
                .onlyDependOnClassesThat(resideInAnyPackage(
                        "martenslip", "martenslip.control", "java.util..", "java.nio", "java.lang.."))
                .check(all);
    }

    @Test
    public void decisionsBesideTheModuleKnowOnlyItsInterface() {
        for (String decides : new String[] {"martenslip.lookout", "martenslip.roll", "martenslip.pulse"}) {
            classes()
                    .that()
                    .resideInAPackage(decides)
                    .should()
                    .onlyDependOnClassesThat(
                            resideInAnyPackage(decides, "martenslip.control", "java.util..", "java.lang.."))
                    .check(all);
            noClasses()
                    .that()
                    .resideInAPackage(decides)
                    .should()
                    .callMethod(System.class, "nanoTime")
                    .check(all);
        }
    }

    @Test
    public void theDrillLoadsNoLibrary() {
        noClasses()
                .that()
                .resideInAnyPackage("martenslip.drill", "martenslip.control", "martenslip")
                .should()
                .dependOnClassesThat(not(resideInAnyPackage("martenslip..", "java..")))
                .check(all);
        noClasses()
                .that()
                .haveSimpleName("Main")
                .should()
                .dependOnClassesThat(resideInAnyPackage("picocli..", "org.slf4j.."))
                .check(all);
    }

    @Test
    public void theControllerInServiceLoadsOnlyItsJson() {
        noClasses()
                .that()
                .resideInAPackage("martenslip.platform..")
                .should()
                .dependOnClassesThat(not(resideInAnyPackage("martenslip..", "java..", "com.fasterxml.jackson.core..")))
                .check(all);
        noClasses()
                .that()
                .resideInAPackage("martenslip.platform..")
                .should()
                .dependOnClassesThat(resideInAnyPackage(
                        "martenslip",
                        "martenslip.cli",
                        "martenslip.provision",
                        "martenslip.exchange",
                        "martenslip.signal",
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
                    .that()
                    .resideInAPackage("martenslip.platform.desk")
                    .should()
                    .dependOnClassesThat(resideInAPackage("martenslip.platform." + part))
                    .check(all);
            for (String other : parts) {
                if (!other.equals(part)) {
                    noClasses()
                            .that()
                            .resideInAPackage("martenslip.platform." + part)
                            .should()
                            .dependOnClassesThat(resideInAPackage("martenslip.platform." + other))
                            .check(all);
                }
            }
        }
    }

    @Test
    public void layersOfSipPointDown() {
        noClasses()
                .that(resideInAPackage("martenslip.sip.message"))
                .should()
                .dependOnClassesThat(resideInAnyPackage(
                        "martenslip.sip.transport", "martenslip.sip.transaction", "martenslip.sip.dialog"))
                .check(all);
        noClasses()
                .that(resideInAPackage("martenslip.sip.transport"))
                .should()
                .dependOnClassesThat(resideInAnyPackage("martenslip.sip.transaction", "martenslip.sip.dialog"))
                .check(all);
        noClasses()
                .that(resideInAPackage("martenslip.sip.transaction"))
                .should()
                .dependOnClassesThat(resideInAPackage("martenslip.sip.dialog"))
                .check(all);
    }

    @Test
    public void timeEntersAtFewPlaces() {
        noClasses()
                .that()
                .resideInAnyPackage(
                        "martenslip",
                        "martenslip.exchange",
                        "martenslip.sip.transaction",
                        "martenslip.sip.dialog",
                        "martenslip.sip.message",
                        "martenslip.wheel",
                        "martenslip.platform.desk",
                        "martenslip.platform.json")
                .and()
                .haveNameNotMatching(".*\\.(Exchange|Crew|Planted|EventLoop)(\\$.*)?")
                .should()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(System.class, "currentTimeMillis")
                .check(all);
    }
}
