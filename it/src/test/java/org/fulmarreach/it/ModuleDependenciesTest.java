package org.fulmarreach.it;

import java.util.List;

import org.junit.jupiter.api.Test;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

/**
 * Guards against use of I/O, clocks or threads in core, and against dependencies between modules that are not allowed.
 */
class ModuleDependenciesTest {
    private final JavaClasses classes = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.fulmarreach");

    @Test
    void coreDependsOnNoOtherModuleAndOnNoLibrary() {
        noClasses()
                .that()
                .resideInAPackage("org.fulmarreach.core..")
                .should()
                .dependOnClassesThat()
                .resideOutsideOfPackages(
                        "java.lang..",
                        "java.util..",
                        "java.math..",
                        "java.time..",
                        "java.nio.charset..",
                        "org.fulmarreach.core..")
                .check(classes);
    }

    @Test
    void coreHasNoClockAndNoThreads() {
        noClasses()
                .that()
                .resideInAPackage("org.fulmarreach.core..")
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .dependOnClassesThat()
                .areAssignableTo(Thread.class)
                .check(classes);
    }

    @Test
    void rolesDoNotKnowEachOther() {
        noClasses()
                .that()
                .resideInAPackage("org.fulmarreach.guard..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.fulmarreach.entry..", "org.fulmarreach.daemon..", "org.fulmarreach.standin..")
                .check(classes);
        noClasses()
                .that()
                .resideInAPackage("org.fulmarreach.entry..")
                .should()
                .dependOnClassesThat()
                .resideInAnyPackage("org.fulmarreach.guard..", "org.fulmarreach.daemon..", "org.fulmarreach.standin..")
                .check(classes);
    }

    @Test
    void shippedCodeDoesNotUseStandIns() {
        noClasses()
                .that()
                .resideOutsideOfPackages("org.fulmarreach.standin..", "org.fulmarreach.it..", "org.fulmarreach.bench..")
                .should()
                .dependOnClassesThat()
                .resideInAPackage("org.fulmarreach.standin..")
                .check(classes);
    }

    /** A listener of its own would pass all requests that one read holds to the parser, which nests them. */
    @Test
    void httpIsBoundOnlyWhereTheInputOfTheParserIsCut() {
        noClasses()
                .that()
                .doNotHaveFullyQualifiedName("org.fulmarreach.runtime.net.HttpListener")
                .and()
                .doNotHaveFullyQualifiedName("org.fulmarreach.standin.StandInServer")
                .should()
                .dependOnClassesThat()
                .haveFullyQualifiedName("org.apache.pekko.http.javadsl.ServerBuilder")
                .orShould()
                .dependOnClassesThat()
                .haveFullyQualifiedName("org.apache.pekko.http.javadsl.settings.ServerSettings")
                .check(classes);
        List.of("org.fulmarreach.runtime.net.HttpListener", "org.fulmarreach.standin.StandInServer")
                .forEach(listener -> classes()
                        .that()
                        .haveFullyQualifiedName(listener)
                        .should()
                        .dependOnClassesThat()
                        .haveFullyQualifiedName("org.fulmarreach.platform.ParserInput")
                        .check(classes));
    }
}
