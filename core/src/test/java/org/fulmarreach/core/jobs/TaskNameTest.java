package org.fulmarreach.core.jobs;

import java.util.Optional;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

/** Guards against names in reports of workers that are taken for another task, or that end the leader. */
class TaskNameTest {
    @Test
    void nameOfATaskIsParsed() {
        TaskName name = new TaskName("655cceb1cc4a0e2e", 3, 0, 19_999);
        assertEquals(Optional.of(name), TaskName.parse(name.toString()));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                "a",
                "a.1",
                "a.1.2",
                "a.1.2.3.4",
                "...",
                "a..2.3",
                "a.1..3",
                "a.1.2.x",
                "a.1.2.99999999999",
                "a.1.2. 3"
            })
    void otherTextIsNoName(String text) {
        assertEquals(Optional.empty(), TaskName.parse(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"a.1.2.3.", "a.1.2.3..", "a.+1.2.3"})
    void oddTextThatWasANameStaysOne(String text) {
        assertEquals(Optional.of(new TaskName("a", 1, 2, 3)), TaskName.parse(text));
    }
}
