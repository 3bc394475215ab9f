package org.geraniumproxy.core;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.noClasses;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.domain.JavaModifier;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import java.time.Clock;
import java.time.Instant;
import java.util.Random;
import org.junit.jupiter.api.Test;

/** Guards against input, output, threads, clocks and mutable state in the core. */
class Core_dependencies_Test {
    private static final JavaClasses CORE = new ClassFileImporter()
            .withImportOption(new ImportOption.DoNotIncludeTests())
            .importPackages("org.geraniumproxy.core");

    @Test
    void should_depend_only_on_pure_parts_of_the_JDK() {
        classes()
                .that()
                .resideInAPackage("org.geraniumproxy.core..")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage(
                        "org.geraniumproxy.core..",
                        "java.lang..",
                        "java.util",
                        "java.util.function",
                        "java.util.regex",
                        "java.util.stream",
                        "java.util.zip",
                        "java.time..",
                        "java.math",
                        "java.nio",
                        "java.nio.charset",
                        "java.security")
                .check(CORE);
    }

    @Test
    void should_use_no_clock_thread_or_random_numbers() {
        noClasses()
                .should()
                .callMethod(System.class, "currentTimeMillis")
                .orShould()
                .callMethod(System.class, "nanoTime")
                .orShould()
                .callMethod(Instant.class, "now")
                .orShould()
                .callMethod(Math.class, "random")
                .orShould()
                .dependOnClassesThat()
                .belongToAnyOf(Clock.class, Thread.class, Random.class)
                .check(CORE);
    }

    @Test
    void should_keep_all_fields_final() {
        fields().that().areNotStatic().should().haveModifier(JavaModifier.FINAL).check(CORE);
    }
}
