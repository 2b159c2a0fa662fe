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
        return page.toString();
    }

    private static String describeDefault(Setting setting) {
        if (setting.defaultValue() == null) {
            return "required";
        }
        return setting.defaultValue().isEmpty() ? "empty" : "`" + setting.defaultValue() + "`";
    }
}
