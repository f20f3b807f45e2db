package org.elmline.core;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/** Holds the core free of I/O, threads and clocks of its own, so that a test can drive every decision step by step. */
@AnalyzeClasses(packages = "org.elmline.core", importOptions = ImportOption.DoNotIncludeTests.class)
final class ArchitectureTest {
    @ArchTest
    static final ArchRule NO_IO = noClasses()
            .should()
            .dependOnClassesThat()
            .resideInAnyPackage(
                    "java.net..", "java.nio.channels..", "java.nio.file..", "java.io..", "org.jboss.logging..")
            .because("core decides; platform modules read and write");

    @ArchTest
    static final ArchRule NO_THREADS = noClasses()
            .should()
            .dependOnClassesThat()
            .haveNameMatching("java\\.lang\\.Thread|java\\.util\\.concurrent\\.(Executor.*|Scheduled.*|Timer.*)")
            .because("time and workers are passed in");

    @ArchTest
    static final ArchRule NO_WALL_CLOCK = noClasses()
            .should()
            .callMethod(System.class, "currentTimeMillis")
            .orShould()
            .callMethod(System.class, "nanoTime")
            .because("a decision that reads a clock of its own can't be driven by a test");
}
