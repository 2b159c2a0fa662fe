package org.fulmarreach.it;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.attribute.PosixFilePermissions;
import java.util.concurrent.TimeUnit;

import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

/**
 * Tests which runtime images {@code bin/deploy-build} replaces ({@code bin/jre.sh}). It kept any image that was there,
 * so a folder that was copied from a machine of another kind could not be started. The JDK is a stand-in, whose
 * {@code jlink} writes an image that prints the version of the JDK.
 */
class DeployBuildTest {
    private static final String VERSION = "25.0.4";
    private static final String JAVA = "#!/bin/sh\necho 'openjdk version \"" + VERSION + "\" 2026-07-21 LTS' >&2\n";
    private static final String JLINK = """
            #!/bin/sh
            while [ "$1" != --output ]; do shift; done
            mkdir -p "$2/bin"
            cp "$(dirname "$0")/java" "$2/bin/java"
            touch "$2/built"
            """;
    private static final int TIMEOUT_S = 30;

    @TempDir
    Path folder;

    @BeforeEach
    void writeJdk() throws IOException {
        writeProgram(folder.resolve("jdk/bin/java"), JAVA.getBytes(StandardCharsets.UTF_8));
        writeProgram(folder.resolve("jdk/bin/jlink"), JLINK.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void missingImageIsBuilt() throws Exception {
        assertTrue(isBuilt());
    }

    @Test
    void imageOfTheSameVersionIsKept() throws Exception {
        writeImage(JAVA);
        assertFalse(isBuilt());
    }

    @Test
    void imageThatFailsIsReplaced() throws Exception {
        writeImage(JAVA + "exit 1\n");
        assertTrue(isBuilt());
    }

    /** An ELF program without a machine that this one could be. */
    @Test
    void imageForAMachineOfAnotherKindIsReplaced() throws Exception {
        byte[] program = new byte[64];
        System.arraycopy(new byte[] {0x7f, 'E', 'L', 'F', 2, 1, 1}, 0, program, 0, 7);
        writeProgram(image().resolve("bin/java"), program);
        assertTrue(isBuilt());
    }

    @Test
    void imageOfAnotherVersionIsReplaced() throws Exception {
        writeImage(JAVA.replace(VERSION, "25.0.3"));
        assertTrue(isBuilt());
    }

    /** An image whose version cannot be read must not pass as one of an equally unreadable version. */
    @Test
    void imageWithoutAVersionIsReplaced() throws Exception {
        writeProgram(folder.resolve("jdk/bin/java"), "#!/bin/sh\n".getBytes(StandardCharsets.UTF_8));
        writeImage("#!/bin/sh\n");
        assertTrue(isBuilt());
    }

    @Test
    void filesOfTheFormerImageAreRemoved() throws Exception {
        writeImage(JAVA + "exit 1\n");
        Files.writeString(image().resolve("former"), "");
        assertTrue(isBuilt());
        assertTrue(Files.notExists(image().resolve("former")));
    }

    private Path image() {
        return folder.resolve("jre");
    }

    private void writeImage(String java) throws IOException {
        writeProgram(image().resolve("bin/java"), java.getBytes(StandardCharsets.UTF_8));
    }

    private static void writeProgram(Path path, byte[] content) throws IOException {
        Files.createDirectories(path.getParent());
        Files.write(path, content);
        Files.setPosixFilePermissions(path, PosixFilePermissions.fromString("rwxr-xr-x"));
    }

    /** Runs the build as the script does, and tells whether it has built an image. */
    private boolean isBuilt() throws Exception {
        Path script = Path.of("..", "bin", "jre.sh").toAbsolutePath();
        ProcessBuilder builder = new ProcessBuilder(
                "bash", "-c", "set -euo pipefail; . \"$0\"; build_jre \"$1\"", script.toString(), image().toString());
        builder.environment().put("JAVA_HOME", folder.resolve("jdk").toString());
        Process process = builder.redirectErrorStream(true).start();
        String output = new String(process.getInputStream().readAllBytes(), StandardCharsets.UTF_8);
        assertTrue(process.waitFor(TIMEOUT_S, TimeUnit.SECONDS), "the script does not end");
        assertEquals(0, process.exitValue(), output);
        return Files.exists(image().resolve("built"));
    }
}
