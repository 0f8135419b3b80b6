package org.crocusturn.daemon;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/** Guards against cyclic packages, spinning threads, child processes and leaked encodings. */
class ArchitectureTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("org.crocusturn.daemon");

    static Stream<ArchRule> rules() {
        return Stream.of(
                slices().matching("org.crocusturn.daemon.(*)..").should().beFreeOfCycles(),
                classes()
                        .that()
                        .resideInAPackage("org.crocusturn.daemon.generated..")
                        .should()
                        .onlyBeAccessed()
                        .byAnyPackage(
                                "org.crocusturn.daemon.generated..",
                                "org.crocusturn.daemon.wire..",
                                "org.crocusturn.daemon.net.."),
                noClasses()
                        .should()
                        .dependOnClassesThat()
                        .haveFullyQualifiedName("java.lang.ProcessBuilder")
                        .as("a process starts no other process"),
                noClasses()
                        .should()
                        .callMethod(Thread.class, "sleep", long.class)
                        .orShould()
                        .callMethod(Thread.class, "onSpinWait")
                        .orShould()
                        .callMethod(Thread.class, "yield")
                        .as("threads block on rings and neither sleep nor spin"),
                noClasses()
                        .should()
                        .dependOnClassesThat()
                        .resideInAPackage("org.crocusturn.standin..")
                        .as("production code does not depend on the stand-in"));
    }

    @ParameterizedTest
    @MethodSource("rules")
    void ruleHolds(ArchRule rule) {
        rule.check(CLASSES);
    }
}
