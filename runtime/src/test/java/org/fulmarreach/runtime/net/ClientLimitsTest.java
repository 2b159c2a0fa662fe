package org.fulmarreach.runtime.net;

import java.util.Map;

import org.fulmarreach.core.exc.FulmarreachException;
import org.fulmarreach.runtime.cfg.Setting;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

import static org.junit.jupiter.api.Assertions.assertDoesNotThrow;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against a bad limit that ends a process without naming the variable. */
class ClientLimitsTest {
    @ParameterizedTest
    @EnumSource(
            names = {
                "CLIENT_MEMORY_BYTES",
                "MAX_HEADER_BYTES",
                "RECEIVE_TIMEOUT_MS",
                "WRITE_TIMEOUT_MS",
                "LINGER_BYTES",
                "MAX_HTTP_CONNECTIONS"
            })
    void badValueIsReportedWithItsVariable(Setting setting) {
        FulmarreachException e =
                assertThrows(FulmarreachException.class, () -> ClientLimits.check(Map.of(setting.variable(), "1x")));
        assertTrue(
                e.problem().message().contains(setting.variable()), e.problem().message());
    }

    @Test
    void defaultsAreInRange() {
        assertDoesNotThrow(() -> ClientLimits.check(Map.of()));
    }
}
