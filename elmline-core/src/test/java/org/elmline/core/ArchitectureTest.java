package org.elmline.core;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import org.junit.jupiter.api.Test;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/**
 * Checks that the core has no I/O, threads or clocks of its own, so that tests can drive every decision step by step.
 */
class ArchitectureTest {
    private static final JavaClasses CORE = new ClassFileImporter()
            .withImportOption(ImportOption.Predefined.DO_NOT_INCLUDE_TESTS)
            .importPackages("org.elmline.core");

    @Test
    void noInputOrOutput() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("java.net..", "java.nio.channels..", "java.nio.file..", "org.jboss.logging..")
                .because("core makes decisions; other modules do the input and output")
                .check(CORE);
    }

    @Test
    void noThreads() {
        noClasses()
                .should()
                .dependOnClassesThat()
                .haveNameMatching("java\\.lang\\.Thread|java\\.util\\.concurrent\\.(Executor.*|Scheduled.*)|java\\.util"
                        + "\\.Timer")
                .because("time and executors are passed in")
                .check(CORE);
    }

    @Test
    void noClockOfItsOwn() {
        noClasses()
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .because("a decision that reads the system clock cannot be tested step by step")
                .check(CORE);
    }
}
