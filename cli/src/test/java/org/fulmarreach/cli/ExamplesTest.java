package org.fulmarreach.cli;

import java.nio.file.Path;
import java.util.Set;
import java.util.stream.Collectors;

import org.fulmarreach.core.rules.Rule;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;

/** Guards against example files with faults, which operators could not publish. */
class ExamplesTest {
    @ParameterizedTest
    @ValueSource(strings = {"kreidekiste.rules", "association.rules"})
    void exampleHasNoFaultsAndContainsEachKindOfRule(String name) {
        String file = Path.of("..", "examples", name).toString();
        RulesFile.Valid valid = assertInstanceOf(RulesFile.Valid.class, RulesFile.read(file));
        Set<String> kinds = valid.rules().all().stream()
                .map(Rule::text)
                .map(text -> text.substring(0, text.indexOf(' ')))
                .collect(Collectors.toSet());
        assertEquals(Set.of("urgent", "batch", "standing", "quota", "budget"), kinds);
    }
}
