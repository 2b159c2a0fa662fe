package org.fulmarreach.runtime.cfg;

import java.util.List;
import java.util.Map;

import org.fulmarreach.core.exc.Result;
import org.junit.jupiter.api.Test;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a daemon that starts with a wrong setting, or that reports only the first of several faults. */
class SettingsReaderTest {
    private static final Map<String, String> ENTRY = Map.of(
            "FULMARREACH_ID", "entry-1",
            "FULMARREACH_REGION", "sued",
            "FULMARREACH_ZONE", "sued-a",
            "FULMARREACH_STORE", "http://127.0.0.1:7300",
            "FULMARREACH_STORE_REGION", "sued");

    private final SettingsReader reader = new SettingsReader("test");

    @Test
    void flagTakesPrecedenceOverVariableAndDefault() throws Exception {
        Settings settings = readValid(new String[] {"entry", "--zone", "sued-b"}, ENTRY);
        assertEquals("sued-b", settings.text(Setting.ZONE));
        assertEquals("sued", settings.text(Setting.REGION));
        assertEquals(500, settings.number(Setting.HEARTBEAT_MS));
        assertEquals(List.of(), settings.addresses(Setting.PEERS));
    }

    @Test
    void allFaultsAreReportedTogether() throws Exception {
        String[] args = {
            "guard", "--heartbeat-ms", "7", "--target", "bestellung", "--entries", "127.0.0.1:70000", "--zone", "a b"
        };
        Result<Settings> read = reader.read(args, Map.of());
        String message = assertInstanceOf(Result.Err.class, read).problem().message();
        for (String flag : List.of("--id", "--region", "--vm", "--heartbeat-ms", "--target", "--entries", "--zone")) {
            assertTrue(message.contains(flag + " "), () -> flag + " is not named in:\n" + message);
        }
    }

    @Test
    void openOperatorAddressNeedsToken() throws Exception {
        String[] args = {"entry", "--operator-http", "10.0.0.1:7402"};
        assertInstanceOf(Result.Err.class, reader.read(args, ENTRY));
        String[] withToken = {"entry", "--operator-http", "10.0.0.1:7402", "--token", "secret"};
        assertInstanceOf(Result.Ok.class, reader.read(withToken, ENTRY));
    }

    @Property(seed = "41", tries = 300)
    void anyTextGivesSettingsOrTypedFaults(@ForAll String text) throws ArgumentParserException {
        for (Setting setting : Setting.values()) {
            assertInstanceOf(Result.class, reader.read(new String[] {"entry"}, Map.of(setting.variable(), text)));
        }
    }

    private Settings readValid(String[] args, Map<String, String> environment) throws ArgumentParserException {
        Result<Settings> read = reader.read(args, environment);
        return (Settings) assertInstanceOf(Result.Ok.class, read).value();
    }
}
