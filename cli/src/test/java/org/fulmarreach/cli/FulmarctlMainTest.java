package org.fulmarreach.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;

import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Guards against wrong reports to operators: a lost publish, an overwritten edit, a success that did not happen. */
class FulmarctlMainTest {
    private static final String OLD = "quota cores=1 memory=1G tasks=1 # kreidekiste: Lena";
    private static final String NEW = "quota cores=2 memory=1G tasks=1 # kreidekiste: Lena";
    private static final String OTHER = "budget amount=5 every=24h # federation: treasurer";

    /** Virtual clock that advances only while the tool sleeps. */
    private static final class VirtualTicker implements Ticker {
        private long nowMs;

        @Override
        public long nowMs() {
            return nowMs;
        }

        @Override
        public void sleepMs(long durationMs) {
            nowMs += durationMs;
        }
    }

    @TempDir
    private Path folder;

    private final ByteArrayOutputStream output = new ByteArrayOutputStream();
    private FakeEntry entry;
    private String file;

    @BeforeEach
    void start() throws IOException {
        entry = new FakeEntry();
        entry.answer("GET /v1/rules", 200, rules(3, OLD));
        file = write(NEW);
    }

    @AfterEach
    void stop() {
        entry.close();
    }

    @Test
    void helpNamesCommandsStatusesAndExamples() {
        assertEquals(ExitCode.OK, run("--help"));
        Approvals.verify(text());
    }

    @Test
    void badUsageHasItsOwnStatus() {
        assertEquals(ExitCode.USAGE, run("publish"));
        assertEquals(ExitCode.USAGE, run("targets", "--timeout", "soon"));
        assertEquals(ExitCode.USAGE, run("targets", "--entry", "ftp://x"));
        assertEquals(ExitCode.USAGE, run("check", folder.resolve("missing").toString()));
        assertEquals(ExitCode.OK, run("publish", "-h"));
    }

    @Test
    void fileWithAFaultPublishesNothing() throws IOException {
        String bad = write(NEW + "\nurgent bestellung/checkout idempotent=perhaps # kreidekiste: Lena\nquota\n");
        assertEquals(ExitCode.BAD_RULES, run("publish", bad));
        assertEquals(List.of(), entry.requests());
        Approvals.verify(text().replace(bad, "FILE"));
    }

    @Test
    void publishIsRepeatedWithTheSameIdAtTheNextEntryAfterALostAnswer() throws IOException {
        entry.answer("POST /v1/rules", 0, FakeEntry.LOST);
        try (FakeEntry second = new FakeEntry()) {
            second.answer("POST /v1/rules", 503, "{\"code\":\"STORE_UNAVAILABLE\"}");
            second.answer("POST /v1/rules", 200, "{\"status\":\"accepted\",\"revision\":4}");
            assertEquals(ExitCode.OK, run("publish", file, "--entry", entry.address(), "--entry", second.address()));
            List<String> posts = entry.requests().stream()
                    .filter(request -> request.startsWith("POST"))
                    .toList();
            assertEquals(2, posts.size());
            assertEquals(List.of(posts.get(0), posts.get(0)), second.requests());
            assertTrue(posts.get(0).contains("\"baseRevision\":3"));
            assertTrue(posts.get(0).contains("\"operator\":\"lena\"} Bearer secret"));
        }
        assertTrue(text().endsWith("Revision 4 accepted.\n"), text());
    }

    @Test
    void publishWithoutAnyAnswerIsReportedAsUnknown() {
        entry.answer("POST /v1/rules", 0, FakeEntry.LOST);
        assertEquals(ExitCode.UNREACHABLE, run("publish", file, "--timeout", "1s"));
        assertTrue(text().contains("Whether the publish took effect is not known."), text());
    }

    @Test
    void conflictShowsWhatChangedMeanwhile() {
        entry.answer("POST /v1/rules", 409, rules(5, OTHER).replace("{", "{\"code\":\"CONFLICT\","));
        assertEquals(ExitCode.CONFLICT, run("publish", file));
        Approvals.verify(text());
    }

    @Test
    void fileEditedFromAnOlderRevisionRemovesNothing() {
        entry.answer("POST /v1/rules", 200, "{\"status\":\"accepted\",\"revision\":4}");
        assertEquals(ExitCode.CONFLICT, run("publish", file, "--base", "2"));
        assertTrue(text().contains("- " + OLD + "\n+ " + NEW), text());
        assertEquals(1, entry.requests().size());
        assertEquals(ExitCode.OK, run("publish", file, "--base", "3"));
    }

    @Test
    void faultsReportedByTheEntryNameTheRuleLine() {
        entry.answer(
                "POST /v1/rules",
                400,
                "{\"code\":\"REGION_BOUND\",\"message\":\"1 fault\",\"remedy\":\"r\",\"faults\":[{\"line\":1,"
                        + "\"column\":1,\"expected\":\"region=sued\","
                        + "\"found\":\"region=nord\",\"remedy\":\"rename\"}]}");
        assertEquals(ExitCode.BAD_RULES, run("publish", file));
        assertTrue(text().contains(NEW) && text().contains("expected region=sued, found region=nord"), text());
    }

    @Test
    void waitEndsWhenAllSitesHaveTheRevision() {
        entry.answer("POST /v1/rules", 200, "{\"status\":\"accepted\",\"revision\":4}");
        entry.answer("GET /v1/rules/sites", 200, sites(4, 3).replace(":false", ":true"));
        entry.answer("GET /v1/rules/sites", 200, sites(4, 5));
        assertEquals(ExitCode.OK, run("publish", file, "--wait"));
        Approvals.verify(text());
    }

    @Test
    void waitThatEndsTooEarlyIsNotASuccess() {
        entry.answer("POST /v1/rules", 200, "{\"status\":\"accepted\",\"revision\":4}");
        entry.answer("GET /v1/rules/sites", 200, sites(4, 3).replace("guard", "entry"));
        assertEquals(ExitCode.REFUSED, run("publish", file, "--wait", "--timeout", "2s"));
        Approvals.verify(text());
    }

    @Test
    void unreachableGuardDoesNotDelayTheWait() {
        entry.answer("POST /v1/rules", 200, "{\"status\":\"accepted\",\"revision\":4}");
        entry.answer("GET /v1/rules/sites", 200, sites(4, 3));
        assertEquals(ExitCode.OK, run("publish", file, "--wait", "--timeout", "2s"));
        assertTrue(text().contains("guard nord-a: not reachable"), text());
    }

    @Test
    void unchangedFilePublishesNothing() throws IOException {
        assertEquals(ExitCode.OK, run("publish", write("  " + OLD.replace(" ", "  "))));
        assertEquals(1, entry.requests().size());
    }

    @Test
    void refusedConnectionNamesTheRemedy() throws IOException {
        String closed;
        try (ServerSocket socket = new ServerSocket(0)) {
            closed = "http://127.0.0.1:" + socket.getLocalPort();
        }
        assertEquals(ExitCode.UNREACHABLE, run("targets", "--entry", closed));
        Approvals.verify(text().replace(closed, "ENTRY"));
    }

    @Test
    void tablesShowWhatTheEntryAnswers() {
        entry.answer(
                "GET /v1/targets",
                200,
                "{\"targets\":[{\"vm\":\"vm-1\",\"zone\":\"sued-a\",\"region\":\"sued\",\"rack\":\"r1\",\"service\":"
                        + "\"bestellung\",\"state\":\"READY\",\"slots\":8,\"slotsInUse\":3,\"outstanding\":2,"
                        + "\"connections\":64,\"connectionsInUse\":5,\"freeMilliCores\":12500,\"freeMemoryMb\":2048,"
                        + "\"p99Ms\":41,\"incarnation\":7,\"rulesRevision\":4},{\"vm\":\"bad\\u001b[2J\"}]}");
        String item = "{\"name\":\"farbplan\",\"run\":3,\"kind\":\"batch\",\"member\":\"kreidekiste\",\"shard\":"
                + "\"sued-2\",\"phase\":\"PENDING\",\"vm\":null,\"epoch\":1,\"deadlineMs\":1764900000000,"
                + "\"reason\":\"no room\"}";
        entry.answer("GET /v1/work", 200, "{\"work\":[" + item + "]}");
        entry.answer(
                "GET /v1/work/farbplan",
                200,
                "{\"runs\":[" + item + "],\"explanation\":[\"vm-1: 12.5 cores free\",\"vm-2 leaves\"]}");
        entry.answer("GET /v1/budget", 200, "{\"period\":1764892800000,\"amount\":100,\"granted\":60,\"purse\":9}");
        entry.answer(
                "GET /v1/leases",
                200,
                "{\"leases\":[{\"shard\":\"sued-2\",\"leader\":\"e1\",\"term\":9,"
                        + "\"ageMs\":120,\"outage\":true}]}");
        entry.answer("GET /v1/rules/sites", 200, sites(4, 3));
        for (String command : List.of("targets", "work", "budget", "leases", "sites", "rules")) {
            assertEquals(ExitCode.OK, run(command));
        }
        assertEquals(ExitCode.OK, run("why", "farbplan"));
        assertEquals(ExitCode.OK, run("diff", file));
        assertEquals(ExitCode.REFUSED, run("cancel", "farb plan"));
        assertTrue(entry.requests().stream().anyMatch(r -> r.startsWith("POST /v1/work/farb%20plan/cancel")));
        Approvals.verify(text());
    }

    @Test
    void jsonOutputIsTheAnswerOfTheEntry() {
        assertEquals(ExitCode.OK, run("--json", "rules"));
        assertTrue(text().contains("\"revision\" : 3"), text());
        assertFalse(text().contains("#  revision"));
    }

    private ExitCode run(String... args) {
        PrintStream stream = new PrintStream(output, true, StandardCharsets.UTF_8);
        Map<String, String> environment =
                Map.of("FULMARREACH_ENTRY", entry.address(), "FULMARREACH_TOKEN", "secret", "USER", "lena");
        return new FulmarctlMain(environment, stream, stream, new VirtualTicker()).run(args);
    }

    private String text() {
        return output.toString(StandardCharsets.UTF_8);
    }

    private String write(String content) throws IOException {
        Path path = folder.resolve("test.rules");
        Files.writeString(path, content);
        return path.toString();
    }

    private static String rules(long revision, String line) {
        return "{\"revision\":" + revision + ",\"lines\":[\"" + line + "\"]}";
    }

    private static String sites(long first, long second) {
        return "{\"sites\":[{\"site\":\"e1\",\"kind\":\"entry\",\"zone\":\"sued-a\",\"region\":\"sued\",\"revision\":"
                + first + ",\"reachable\":true},{\"site\":\"nord-a\",\"kind\":\"guard\",\"zone\":\"nord-a\","
                + "\"region\":\"nord\",\"revision\":" + second + ",\"reachable\":false}]}";
    }
}
