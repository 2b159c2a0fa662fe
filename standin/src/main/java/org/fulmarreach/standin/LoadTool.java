package org.fulmarreach.standin;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.time.Duration;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;

import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * Subcommand {@code load}: sends calls at a fixed rate and checks each response. The latency of a call is measured from
 * its scheduled time, so that the delay that a slow response causes for later calls is included (no coordinated
 * omission).
 */
final class LoadTool {
    private static final long MAX_LATENCY_US = 600_000_000L;

    private final LoadOptions options;
    private final LoadCaller caller;
    private final AtomicLong nextCallNumber = new AtomicLong();
    private final AtomicInteger sentLate = new AtomicInteger();
    private final Map<String, Integer> outcomes = new TreeMap<>();
    private final Map<String, Integer> codes = new TreeMap<>();
    private final Histogram latencyUs = new ConcurrentHistogram(MAX_LATENCY_US, 3);
    private final Histogram wholeLatencyUs = new ConcurrentHistogram(MAX_LATENCY_US, 3);

    LoadTool(LoadOptions options, LoadCaller caller) {
        this.options = options;
        this.caller = caller;
    }

    static void register(Subparsers commands, Map<String, StandInMain.Command> byName) {
        Subparser parser = commands.addParser("load").help("load generator that checks the responses");
        parser.addArgument("--entries").nargs("+").required(true).help("127.0.0.1:port of entries, or of targets");
        parser.addArgument("--service").setDefault("bestellung");
        parser.addArgument("--service-path").setDefault("/checkout");
        parser.addArgument("--method").setDefault("POST");
        parser.addArgument("--rate")
                .type(Double.class)
                .setDefault(50.0)
                .help("calls per second; 0 for as fast as possible");
        parser.addArgument("--duration").setDefault("10s");
        parser.addArgument("--warmup")
                .setDefault("0s")
                .help("initial part of the duration that is excluded from the latencies");
        parser.addArgument("--concurrency").type(Integer.class).setDefault(64);
        parser.addArgument("--idempotent").action(Arguments.storeTrue());
        parser.addArgument("--retry-other-entry").action(Arguments.storeTrue());
        parser.addArgument("--direct").action(Arguments.storeTrue()).help("call targets without an entry");
        parser.addArgument("--deadline-ms").type(Long.class).setDefault(2_000L);
        parser.addArgument("--timeout-ms").type(Long.class).setDefault(3_000L);
        parser.addArgument("--bytes").type(Integer.class).setDefault(256).help("size of the response bodies");
        parser.addArgument("--body-bytes").type(Integer.class).setDefault(64).help("size of the request bodies");
        parser.addArgument("--ids").action(Arguments.storeTrue()).help("print a JSON line for each call");
        byName.put("load", (arguments, runtime) -> {
            LoadOptions options = LoadOptions.of(arguments);
            System.out.println(Journal.line(new LoadTool(options, new LoadCaller(options)).run()));
        });
    }

    /** Runs the load and returns the summary. */
    Map<String, Object> run() throws InterruptedException {
        long startNanos = System.nanoTime();
        Thread[] threads = new Thread[options.concurrency()];
        for (int i = 0; i < threads.length; i++) {
            threads[i] = Thread.ofVirtual().start(() -> callUntilEnd(startNanos));
        }
        for (Thread thread : threads) {
            thread.join();
        }
        return summarize((System.nanoTime() - startNanos) / 1e9);
    }

    private void callUntilEnd(long startNanos) {
        long endNanos = startNanos + options.durationMs() * 1_000_000;
        while (true) {
            long callNumber = nextCallNumber.getAndIncrement();
            long scheduledNanos =
                    options.rate() <= 0 ? System.nanoTime() : startNanos + (long) (callNumber * 1e9 / options.rate());
            if (scheduledNanos - endNanos >= 0) {
                return;
            }
            waitUntil(scheduledNanos);
            if (System.nanoTime() - scheduledNanos > 10_000_000) {
                sentLate.incrementAndGet();
            }
            boolean isMeasured = scheduledNanos - startNanos >= options.warmupMs() * 1_000_000;
            record(caller.call(callNumber), (System.nanoTime() - scheduledNanos) / 1_000, isMeasured);
        }
    }

    private static void waitUntil(long scheduledNanos) {
        long leftNanos = scheduledNanos - System.nanoTime();
        while (leftNanos > 0) {
            LockSupport.parkNanos(leftNanos);
            leftNanos = scheduledNanos - System.nanoTime();
        }
    }

    private synchronized void record(LoadCaller.Outcome outcome, long us, boolean isMeasured) {
        long boundedUs = Math.min(MAX_LATENCY_US, Math.max(1, us));
        outcomes.merge(outcome.kind(), 1, Integer::sum);
        if (!outcome.code().isEmpty()) {
            codes.merge(outcome.code(), 1, Integer::sum);
        }
        if (isMeasured) {
            latencyUs.recordValue(boundedUs);
            if (outcome.kind().equals("whole")) {
                wholeLatencyUs.recordValue(boundedUs);
            }
        }
        if (options.printIds()) {
            Map<String, Object> line = new LinkedHashMap<>();
            line.put("requestId", outcome.requestId());
            line.put("outcome", outcome.kind());
            line.put("code", outcome.code());
            line.put("ms", us / 1000.0);
            System.out.println(Journal.line(line));
        }
    }

    private synchronized Map<String, Object> summarize(double seconds) {
        Map<String, Object> summary = new LinkedHashMap<>();
        int calls = outcomes.values().stream().mapToInt(n -> n).sum();
        summary.put("calls", calls);
        summary.put("seconds", seconds);
        summary.put("callsPerS", calls / seconds);
        for (String kind : List.of("whole", "not_run", "unknown", "error", "wrong", "truncated")) {
            summary.put(kind, outcomes.getOrDefault(kind, 0));
        }
        summary.put("codes", codes);
        summary.put("retried", caller.retried());
        summary.put("sentLate", sentLate.get());
        summary.put("latencyMs", percentiles(latencyUs));
        summary.put("wholeLatencyMs", percentiles(wholeLatencyUs));
        return summary;
    }

    private static Map<String, Object> percentiles(Histogram histogram) {
        Map<String, Object> fields = new LinkedHashMap<>();
        for (String percentile : List.of("50", "90", "99", "99.9")) {
            double value = histogram.getValueAtPercentile(Double.parseDouble(percentile)) / 1000.0;
            fields.put("p" + percentile, value);
        }
        fields.put("max", histogram.getMaxValue() / 1000.0);
        fields.put("mean", Math.round(histogram.getMean()) / 1000.0);
        return fields;
    }

    /** Sends one HTTP request; an interface so that the classification can be tested without a network. */
    interface Sender {
        Answer send(HttpRequest request) throws java.io.IOException, InterruptedException;

        /** Returns a sender that uses HTTP/1.1 with persistent connections. */
        static Sender overHttp() {
            HttpClient client = HttpClient.newBuilder()
                    .version(HttpClient.Version.HTTP_1_1)
                    .connectTimeout(Duration.ofSeconds(2))
                    .build();
            return request -> {
                HttpResponse<byte[]> response = client.send(request, HttpResponse.BodyHandlers.ofByteArray());
                return new Answer(response.statusCode(), response.body());
            };
        }

        /** A complete HTTP response. */
        record Answer(int status, byte[] body) {}

        /** Returns the URI of a path at an address. */
        static URI uri(String address, String path) {
            return URI.create("http://" + address + path);
        }
    }
}
