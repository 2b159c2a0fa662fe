package org.fulmarreach.it;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;

import org.fulmarreach.runtime.log.Event;
import org.junit.jupiter.api.Test;

import com.tngtech.archunit.core.domain.JavaClass;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Guards against events that docs/EVENTS.md does not list, and against numbers used twice. Run with
 * {@code -Dpages.write=true} to regenerate the page.
 */
class EventsPageTest {
    private static final Path PAGE = Path.of("..", "docs", "EVENTS.md");

    @Test
    void pageListsEveryEvent() throws Exception {
        String expected = constructPage(findEvents());
        if (Boolean.getBoolean("pages.write")) {
            Files.writeString(PAGE, expected);
        }
        assertEquals(expected, Files.readString(PAGE));
    }

    private static Map<Integer, Event> findEvents() throws ClassNotFoundException {
        Map<Integer, Event> events = new TreeMap<>();
        var classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("org.fulmarreach");
        for (JavaClass found : classes) {
            if (found.isEnum() && found.isAssignableTo(Event.class)) {
                for (Object constant : Class.forName(found.getName()).getEnumConstants()) {
                    Event event = (Event) constant;
                    assertNull(events.put(event.number(), event), "number " + event.number() + " is used twice");
                }
            }
        }
        assertTrue(events.size() > 20, "events were not found");
        return events;
    }

    private static String constructPage(Map<Integer, Event> events) {
        StringBuilder page = new StringBuilder("""
                # Numbered events

                Each line of the log is `ts=... level=... event=NUMBER name=NAME process=ID key=value ...` on standard
                error. Numbers are stable. Ranges: 1000 life cycle and settings, 1100 connections, 2000 rules, 2100
                shards and work, 2200 tasks at the guard, 3000 calls at the entry, 3100 calls at the guard, 3200 budget,
                4000 jobs at the entry, 4100 the worker's relay at the guard, 9000 invariant violations. On the users'
                platform the lines go to standard output.

                | event | name | level | meaning |
                |---|---|---|---|
                """);
        for (Event event : events.values()) {
            page.append("| ").append(event.number());
            page.append(" | ").append(event.name());
            page.append(" | ").append(event.level().getName().toLowerCase(Locale.ROOT));
            page.append(" | ").append(event.description()).append(" |\n");
        }
        return page.toString();
    }
}
