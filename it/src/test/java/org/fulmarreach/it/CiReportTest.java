package org.fulmarreach.it;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

/** Tests the evaluation of test reports by {@code .ci/report}, which decides whether CI passes. */
class CiReportTest {
    private static final String PASSED = "<testcase name=\"works\" classname=\"org.x.PairTest\" time=\"0.1\"/>\n";
    private static final String FAILED = """
            <testcase name="holds" classname="org.x.PairTest" time="0.1">
              <failure message="expected" type="AssertionError"><![CDATA[trace]]></failure>
            </testcase>
            """;
    private static final int TIMEOUT_S = 30;

    @TempDir
    Path checkout;

    /** The text report of a class with tests of two engines names one engine, so CI passed over a failed property. */
    @Test
    void failureOfTheSecondEngineOfAClassFailsTheRun() throws Exception {
        writeTestClass("PairTest");
        writeReport("PairTest", PASSED + FAILED);
        Files.writeString(
                reports().resolve("org.x.PairTest.txt"), "Tests run: 1, Failures: 0, Errors: 0, Skipped: 0\n");
        Outcome outcome = evaluate("");
        assertEquals(1, outcome.status());
        assertTrue(outcome.output().contains("Failed: PairTest.holds"), outcome.output());
        assertTrue(outcome.output().contains("1 passed, 1 failed"), outcome.output());
    }

    @Test
    void listedFailureIsPassedOver() throws Exception {
        writeTestClass("PairTest");
        writeReport("PairTest", PASSED + FAILED);
        Outcome outcome = evaluate("- PairTest.holds (bin/test): red. Issue 9.\n");
        assertEquals(0, outcome.status(), outcome.output());
        assertTrue(outcome.output().contains("listed in KNOWN-RED.txt: PairTest.holds"), outcome.output());
    }

    /** A test process that crashes leaves no report, which must not count as a pass. */
    @Test
    void testClassWithoutReportFailsTheRun() throws Exception {
        writeTestClass("PairTest");
        writeTestClass("CrashedTest");
        writeReport("PairTest", PASSED);
        Outcome outcome = evaluate("");
        assertEquals(1, outcome.status());
        assertTrue(outcome.output().contains("No report of test class CrashedTest"), outcome.output());
    }

    private Path reports() throws IOException {
        return Files.createDirectories(checkout.resolve("module/target/surefire-reports"));
    }

    private void writeTestClass(String name) throws IOException {
        Path sources = Files.createDirectories(checkout.resolve("module/src/test/java/org/x"));
        Files.writeString(sources.resolve(name + ".java"), "");
    }

    private void writeReport(String name, String testCases) throws IOException {
        Files.writeString(
                reports().resolve("TEST-org.x." + name + ".xml"), "<testsuite>\n" + testCases + "</testsuite>\n");
    }

    private Outcome evaluate(String knownRed) throws Exception {
        Files.writeString(checkout.resolve("KNOWN-RED.txt"), knownRed);
        Path script = Path.of("..", ".ci", "report").toAbsolutePath();
        Process process = new ProcessBuilder("bash", script.toString())
                .directory(checkout.toFile())
                .redirectErrorStream(true)
                .start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the script does not end");
        return new Outcome(process.exitValue(), output);
    }

    private record Outcome(int status, String output) {}
}
