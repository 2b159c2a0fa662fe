package org.fulmarreach.cli;

import java.io.PrintStream;

import org.fulmarreach.core.exc.ErrorCode;

import com.fasterxml.jackson.databind.JsonNode;

/** Output of one command. Replaces control characters, which texts of other systems may contain. Not thread-safe. */
final class Console {
    private final PrintStream out;
    private final PrintStream err;

    Console(PrintStream out, PrintStream err) {
        this.out = out;
        this.err = err;
    }

    /** Prints a line of the result. */
    void print(String line) {
        out.println(toPrintable(line));
    }

    /** Prints JSON with indentation. */
    void print(JsonNode json) {
        out.println(json.toPrettyString());
    }

    /** Prints a line about progress or an error to the error stream. */
    void report(String line) {
        err.println(toPrintable(line));
    }

    /** Reports that no entry answered. */
    ExitCode reportUnreachable(Answer.NoAnswer answer) {
        report("No entry answered.");
        answer.causes().forEach(cause -> report("  " + cause));
        report("Remedy: check that fulmard runs at the address, or give another entry with --entry or "
                + "FULMARREACH_ENTRY.");
        return ExitCode.UNREACHABLE;
    }

    /** Reports an error response of an entry. */
    ExitCode reportRefusal(Answer.Reply reply) {
        JsonNode body = reply.body();
        String code = body.path("code").asText("HTTP " + reply.status());
        report(code + ": " + body.path("message").asText("the entry refused the request"));
        report("Remedy: " + body.path("remedy").asText(findRemedy(reply.status())));
        if (body.path("retryAfterMs").asLong() > 0) {
            report("Retry after " + body.path("retryAfterMs").asLong() + " ms.");
        }
        return ExitCode.REFUSED;
    }

    private static String findRemedy(int status) {
        return switch (status) {
            case 401, 403 -> ErrorCode.UNAUTHORIZED.remedy();
            case 404 -> "Check the name, and check that the address belongs to an entry.";
            default -> "Try again, or use another entry.";
        };
    }

    private static String toPrintable(String line) {
        return line.replaceAll("[\\p{Cc}\\p{Cf}&&[^\n]]", "?");
    }
}
