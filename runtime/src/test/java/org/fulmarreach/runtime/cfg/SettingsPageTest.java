package org.fulmarreach.runtime.cfg;

import java.nio.file.Files;
import java.nio.file.Path;

import org.junit.jupiter.api.Test;

import static org.junit.jupiter.api.Assertions.assertEquals;

/**
 * Guards against a docs/SETTINGS.md that differs from the settings in the code. Run with {@code -Dpages.write=true} to
 * write the page.
 */
class SettingsPageTest {
    private static final Path PAGE = Path.of("..", "docs", "SETTINGS.md");

    @Test
    void pageMatchesTheCode() throws Exception {
        String expected = constructPage();
        if (Boolean.getBoolean("pages.write")) {
            Files.writeString(PAGE, expected);
        }
        assertEquals(expected, Files.readString(PAGE));
    }

    private static String constructPage() {
        StringBuilder page = new StringBuilder("""
                # Settings of fulmard

                Each setting is a flag and an environment variable; the flag takes precedence. All faults are reported
                together at start, and the exit code is then 2. Ranges are of the value for numbers, of the length for
                text and of the count for lists.

                | flag | variable | roles | form | unit | default | range | effect |
                |---|---|---|---|---|---|---|---|
                """);
        for (Setting setting : Setting.values()) {
            page.append("| `--").append(setting.flag());
            page.append("` | `").append(setting.variable());
            page.append("` | ").append(setting.roles().name().toLowerCase(java.util.Locale.ROOT));
            page.append(" | ").append(setting.kind().name().toLowerCase(java.util.Locale.ROOT));
            page.append(" | ").append(setting.unit());
            page.append(" | ").append(describeDefault(setting));
            page.append(" | ").append(setting.max() == 0 ? "" : setting.min() + " to " + setting.max());
            page.append(" | ").append(setting.description()).append(" |\n");
        }
        page.append("""

                ## Fixed bounds

                They cannot be set. The platform has the same limit on specifications and states none for the others, so
                very large submissions and checkpoints can meet them.

                | bound | value | effect |
                |---|---|---|
                | starts under way to one worker | 256, or 512 KiB of text \
                | Further tasks wait; a job may use as much as it leaves to others. Gangs start whole. |
                | runs on one worker | 10,000 | Further tasks wait. |
                | specification of a job | 4,000 bytes | The submission is refused with status 400. |
                | specification of a gang, times its tasks | 4 MiB | The submission is refused with status 400. |
                | record of a submission | `record_bytes` of the platform's settings \
                | The submission is refused with status 413; fewer steps at once fit. |
                | memory of all jobs that an entry keeps | 40% of the heap \
                | A submission that needs more than a quarter of what is left is refused with status 429. |
                | checkpoint of a task | 4,096 characters | A longer one is not kept (event 4118); the run goes on. |
                | checkpoints in one report of a worker | 1 MiB | Those of the last runs are left out of the report. |
                """);
        return page.toString();
    }

    private static String describeDefault(Setting setting) {
        if (setting.defaultValue() == null) {
            return "required";
        }
        return setting.defaultValue().isEmpty() ? "empty" : "`" + setting.defaultValue() + "`";
    }
}
