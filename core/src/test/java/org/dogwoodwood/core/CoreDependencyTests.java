package org.dogwoodwood.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;
import static com.tngtech.archunit.library.dependencies.SlicesRuleDefinition.slices;

import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.junit.AnalyzeClasses;
import com.tngtech.archunit.junit.ArchTest;
import com.tngtech.archunit.lang.ArchRule;

/** Guards against dependencies of the core on input, output, threads and clocks. */
@AnalyzeClasses(
        packages = "org.dogwoodwood.core",
        importOptions = ImportOption.DoNotIncludeTests.class)
class CoreDependencyTests {

    @ArchTest
    static final ArchRule NO_INPUT_OR_OUTPUT =
            noClasses()
                    .should()
                    .dependOnClassesThat()
                    .resideInAnyPackage(
                            "io.vertx..",
                            "io.netty..",
                            "java.io..",
                            "java.net..",
                            "java.nio.channels..",
                            "java.nio.file..",
                            "java.util.concurrent..",
                            "org.tinylog..");

    @ArchTest
    static final ArchRule NO_THREADS =
            noClasses().should().dependOnClassesThat().areAssignableTo(Thread.class);

    @ArchTest
    static final ArchRule NO_SYSTEM_CLOCK =
            noClasses()
                    .should()
                    .callMethod(System.class, "currentTimeMillis")
                    .orShould()
                    .callMethod(System.class, "nanoTime")
                    .orShould()
                    .dependOnClassesThat()
                    .areAssignableTo(java.time.Clock.class);

    @ArchTest
    static final ArchRule NO_PACKAGE_CYCLES =
            slices().matching("org.dogwoodwood.core.(*)..").should().beFreeOfCycles();
}
