package org.crocusturn.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.lang.ArchRule;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;

/**
 * Guards against decision code that depends on encodings, clocks or threads, and against cyclic
 * dependencies between packages.
 */
class ArchitectureTest {
    private static final JavaClasses CLASSES =
            new ClassFileImporter()
                    .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
                    .importPackages("org.crocusturn.core");

    static Stream<ArchRule> rules() {
        return Stream.of(
                noClasses()
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "io.netty..",
                                "com.google.protobuf..",
                                "com.fasterxml..",
                                "org.apache.logging..",
                                "java.net..",
                                "org.crocusturn.daemon..")
                        .as("decision code does not depend on encodings or transports"),
                noClasses()
                        .that()
                        .resideOutsideOfPackage("org.crocusturn.core.ring")
                        .should()
                        .dependOnClassesThat()
                        .resideInAnyPackage(
                                "java.util.concurrent..", "java.io..", "java.nio.file..")
                        .orShould()
                        .callMethod(System.class, "nanoTime")
                        .orShould()
                        .callMethod(System.class, "currentTimeMillis")
                        .orShould()
                        .callMethod(Math.class, "random")
                        .as("decision code does not use threads, locks, clocks, I/O or randomness"),
                slices().matching("org.crocusturn.core.(*)..").should().beFreeOfCycles());
    }

    @ParameterizedTest
    @MethodSource("rules")
    void holds(ArchRule rule) {
        rule.check(CLASSES);
    }
}
