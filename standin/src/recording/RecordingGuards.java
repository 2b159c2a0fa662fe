import java.io.ByteArrayOutputStream;
import java.io.DataInputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Base64;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;

import org.fulmarreach.core.jobs.RunEnd;
import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.core.jobs.WorkerReport;
import org.fulmarreach.core.model.Resources;
import org.fulmarreach.protocol.io.GuardMessages;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.ForwardedRequest;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.protocol.thrift.LeaderOrders;
import org.fulmarreach.protocol.thrift.StartRun;
import org.fulmarreach.protocol.thrift.StopRun;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Runs an entry beside stand-ins of the store, of guards and of a caller, on free loopback ports. The build records the
 * classes that this entry loads, so that the class archive also contains what a leader uses. The log names a leader
 * whose process has ended; the entry takes over its term, accepts the guards and starts a job, which a guard reports as
 * running and ended. Usage: {@code RecordingGuards TEMPLATE SETTINGS COMMAND...}. It writes the settings of the entry
 * from the template and ends with the exit code of the command.
 */
public final class RecordingGuards {
    private static final String HOST = "127.0.0.1";
    private static final String CONFIG = "{\"version\":1,\"routes\":[{\"name\":\"record\",\"host\":\"127.0.0.1\","
            + "\"path_prefix\":\"/jobs/\",\"service\":\"record\",\"max_attempts\":2}],\"limits\":{}}";
    private static final String JOB = "{\"specification\":\"{}\",\"steps\":[{\"count\":4,\"cpu\":500,\"mem_mb\":128,"
            + "\"estimated_ms\":100,\"checkpointing\":true},{\"count\":1,\"cpu\":500,\"mem_mb\":128,"
            + "\"estimated_ms\":100,\"after\":[0]}]}";
    private static final String LONG_RUNNING = "long-running";
    private static final String LONG_JOB = "{\"specification\":\"" + LONG_RUNNING + "\",\"steps\":[{\"count\":2,"
            + "\"cpu\":500,\"mem_mb\":128,\"long_running\":true}]}";

    private static final int GUARDS = 2;
    private static final int REPORT_INTERVAL_MS = 200;
    private static final int RETRY_MS = 50;

    /** An entry without a leader does not answer a report; the guard connects again. */
    private static final int ANSWER_TIMEOUT_MS = 500;

    private static final int MAX_CALLS = 150;

    /** Number of reports that list a run as running before it is reported as ended. */
    private static final int REPORTS_OF_RUN = 2;

    private final Map<String, List<byte[]>> logs = new HashMap<>();
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    private final int guardPort;
    private final int callerPort;
    private volatile boolean callerDone;

    private RecordingGuards(int guardPort, int callerPort, int endedLeaderPort) {
        this.guardPort = guardPort;
        this.callerPort = callerPort;
        log("keyed.op/0").add(encodeRecord("config", CONFIG.getBytes(StandardCharsets.UTF_8)));
        byte[] endedLeader = JobRecords.encodeLeader(1, "ended", HOST + ":" + endedLeaderPort);
        log(JobTopics.TOPIC + "/" + JobTopics.PROGRESS_PART).add(encodeRecord(JobTopics.LEADER_KEY, endedLeader));
    }

    /** Starts the store, then the entry, the guards and the caller, and ends with the entry. */
    public static void main(String[] args) throws IOException, InterruptedException {
        int guardPort = findFreePorts();
        int callerPort = findFreePorts();
        RecordingGuards peers = new RecordingGuards(guardPort, callerPort, findFreePorts());
        HttpServer store = HttpServer.create(new InetSocketAddress(HOST, 0), 0);
        store.createContext("/", peers::answer);
        store.setExecutor(Executors.newCachedThreadPool());
        store.start();
        String settings = Files.readString(Path.of(args[0]))
                .replace("ROLE", "entry")
                .replace("HEARTBEAT_PORT", "0")
                .replace("PEER_PORT", String.valueOf(store.getAddress().getPort()))
                .replace("frontend_address\": \"127.0.0.1:0", "frontend_address\": \"127.0.0.1:" + callerPort)
                .replace("[0, 0]", "[" + guardPort + ", " + (guardPort + 1) + "]");
        Files.writeString(Path.of(args[1]), settings);
        Process entry = new ProcessBuilder(List.of(args).subList(2, args.length))
                .inheritIO()
                .start();
        for (int number = 0; number < GUARDS; number++) {
            Guard guard = peers.new Guard(number);
            new Thread(guard::run, "guard").start();
        }
        new Thread(peers::runCaller, "caller").start();
        System.exit(entry.waitFor());
    }

    /** Returns the first of two free ports in a row. */
    private static int findFreePorts() throws IOException {
        while (true) {
            try (ServerSocket first = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
                int port = first.getLocalPort();
                try (ServerSocket second = new ServerSocket(port + 1, 1, InetAddress.getByName(HOST))) {
                    return second.getLocalPort() - 1;
                } catch (IOException e) {
                    System.err.println("port " + (port + 1) + " is in use, trying others");
                }
            }
        }
    }

    /*
     * Store
     */

    private void answer(HttpExchange exchange) throws IOException {
        byte[] request = exchange.getRequestBody().readAllBytes();
        Map<String, String> query = new HashMap<>();
        for (String pair : exchange.getRequestURI().getQuery().split("&")) {
            query.put(pair.substring(0, pair.indexOf('=')), pair.substring(pair.indexOf('=') + 1));
        }
        List<byte[]> log = log(query.get("topic") + "/" + query.get("part"));
        byte[] body =
                switch (exchange.getRequestURI().getPath()) {
                    case "/v1/log-append" -> append(log, request);
                    case "/v1/log-newest" -> newest(log);
                    default ->
                        read(
                                log,
                                Integer.parseInt(query.get("from")),
                                Long.parseLong(query.getOrDefault("wait_ms", "0")));
                };
        exchange.sendResponseHeaders(200, body.length);
        exchange.getResponseBody().write(body);
        exchange.close();
    }

    private List<byte[]> log(String partition) {
        synchronized (logs) {
            return logs.computeIfAbsent(partition, unused -> new ArrayList<>());
        }
    }

    private static byte[] encodeRecord(String key, byte[] value) {
        byte[] keyBytes = key.getBytes(StandardCharsets.UTF_8);
        return ByteBuffer.allocate(1 + keyBytes.length + value.length)
                .put((byte) keyBytes.length)
                .put(keyBytes)
                .put(value)
                .array();
    }

    /** Ignores the conditions of an append: the recorded entry is the only writer. */
    private static byte[] append(List<byte[]> log, byte[] request) {
        ByteBuffer records = ByteBuffer.wrap(request);
        synchronized (log) {
            while (records.hasRemaining()) {
                byte[] record = new byte[records.getInt()];
                records.get(record);
                log.add(record);
            }
            log.notifyAll();
            return ("{\"end_offset\":" + log.size() + "}").getBytes(StandardCharsets.UTF_8);
        }
    }

    private static byte[] read(List<byte[]> log, int from, long waitMs) throws IOException {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        DataOutputStream out = new DataOutputStream(bytes);
        synchronized (log) {
            if (log.size() <= from && waitMs > 0) {
                waitFor(log, waitMs);
            }
            out.writeLong(log.size());
            out.writeLong(0);
            for (byte[] record : log.subList(from, log.size())) {
                out.writeInt(record.length);
                out.write(record);
            }
        }
        return bytes.toByteArray();
    }

    private static void waitFor(List<byte[]> log, long waitMs) {
        try {
            log.wait(waitMs);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private static byte[] newest(List<byte[]> log) {
        Map<String, byte[]> values = new LinkedHashMap<>();
        int end;
        synchronized (log) {
            end = log.size();
            for (byte[] record : log) {
                int valueFrom = 1 + record[0];
                String key = new String(record, 1, record[0], StandardCharsets.UTF_8);
                values.put(key, Arrays.copyOfRange(record, valueFrom, record.length));
            }
        }
        values.values().removeIf(value -> value.length == 0);
        List<String> items = new ArrayList<>();
        values.forEach((key, value) -> items.add("{\"key\":\"" + key + "\",\"value\":\""
                + Base64.getEncoder().encodeToString(value) + "\"}"));
        return ("{\"items\":[" + String.join(",", items) + "],\"has_more\":false,\"end_offset\":" + end + "}")
                .getBytes(StandardCharsets.UTF_8);
    }

    /*
     * Guards
     */

    /** A guard whose worker runs what the leader starts, and reports each run as running, then as ended. */
    private final class Guard {
        private final int number;
        private final WorkerRef worker;
        private final Map<StartRun, Integer> reportsOfRun = new LinkedHashMap<>();
        private final List<WorkerReport.Ended> ended = new ArrayList<>();
        private long lastEnded;

        Guard(int number) {
            this.number = number;
            this.worker = new WorkerRef("guard-" + number, "i-record-" + number, System.currentTimeMillis());
        }

        void run() {
            boolean served = false;
            while (!served) {
                try (Socket socket = new Socket(HOST, guardPort)) {
                    socket.setTcpNoDelay(true);
                    socket.setSoTimeout(ANSWER_TIMEOUT_MS);
                    serve(new DataInputStream(socket.getInputStream()), new DataOutputStream(socket.getOutputStream()));
                    served = true;
                } catch (IOException e) {
                    // The entry is not listening yet, does not lead yet, or has ended.
                    sleep(RETRY_MS);
                }
            }
        }

        private void serve(DataInputStream in, DataOutputStream out) throws IOException {
            // The second guard disconnects once the jobs have ended, so that the end of a session is recorded, too.
            for (int reports = 1; number == 0 || !callerDone; reports++) {
                send(out, 0, Body.guardReport(report(reports)));
                Body answer = receive(in);
                if (answer.isSetLeaderOrders()) {
                    apply(answer.getLeaderOrders());
                }
                sleep(REPORT_INTERVAL_MS);
            }
            // Another entry that cannot reach the store hands over a record in the same way.
            byte[] cancellation = JobRecords.encodeCancellation(System.currentTimeMillis());
            ForwardedRequest forwarded =
                    new ForwardedRequest(JobTopics.cancelKey("forwarded"), ByteBuffer.wrap(cancellation), 500);
            send(out, 1, Body.forwardedRequest(forwarded));
            receive(in);
        }

        private GuardReport report(int pollNumber) {
            List<WorkerReport.Running> running = new ArrayList<>();
            for (StartRun start : List.copyOf(reportsOfRun.keySet())) {
                int reports = reportsOfRun.merge(start, 1, Integer::sum);
                if (reports > REPORTS_OF_RUN && !start.getPayload().equals(LONG_RUNNING)) {
                    reportsOfRun.remove(start);
                    ended.add(new WorkerReport.Ended(++lastEnded, start.getTask(), start.getRun(), RunEnd.DONE, ""));
                } else {
                    running.add(new WorkerReport.Running(start.getTask(), start.getRun(), "0000", 40, 30));
                }
            }
            WorkerReport report = new WorkerReport(
                    worker,
                    "record",
                    "none",
                    new Resources(16_000, 32_768, 0),
                    List.of("a", "r1-" + number),
                    false,
                    true,
                    false,
                    running,
                    List.copyOf(ended),
                    pollNumber);
            GuardReport message = new GuardReport(worker.guard(), System.currentTimeMillis(), List.of(), 0);
            message.setWorker(GuardMessages.toThrift(report));
            return message;
        }

        private void apply(LeaderOrders orders) {
            orders.getStarts().forEach(start -> reportsOfRun.put(start, 0));
            for (StopRun stop : orders.getStops()) {
                reportsOfRun.keySet().removeIf(start -> start.getTask().equals(stop.getTask()));
                ended.add(new WorkerReport.Ended(++lastEnded, stop.getTask(), stop.getRun(), RunEnd.STOPPED, ""));
            }
            ended.removeIf(end -> end.number() <= orders.getAcknowledgedEnd());
        }

        private static void send(DataOutputStream out, long correlationId, Body body) throws IOException {
            byte[] bytes = ThriftBytes.encode(new Frame(correlationId, body));
            out.write(ByteBuffer.allocate(Integer.BYTES + bytes.length)
                    .putInt(bytes.length)
                    .put(bytes)
                    .array());
            out.flush();
        }

        private static Body receive(DataInputStream in) throws IOException {
            return ThriftBytes.decode(in.readNBytes(in.readInt()), new Frame()).getBody();
        }
    }

    /*
     * Caller
     */

    /** Submits two jobs, asks for the status of the first until it has completed and cancels the second. */
    private void runCaller() {
        String first = "http://" + HOST + ":" + callerPort + "/jobs/first";
        String second = "http://" + HOST + ":" + callerPort + "/jobs/second";
        callUntil("POST", first, JOB, "");
        callUntil("POST", second, LONG_JOB, "");
        callUntil("GET", "http://" + HOST + ":" + callerPort + "/jobs/", "", "waiting");
        callUntil("GET", second, "", "running");
        callUntil("DELETE", second, "", "");
        callUntil("GET", first, "", "completed");
        callUntil("GET", second, "", "cancelled");
        callUntil("GET", "http://" + HOST + ":" + (guardPort + 1) + "/metrics", "", "");
        callerDone = true;
        // The build looks for this line.
        System.err.println("all requests were answered");
    }

    /** Repeats a request until it has succeeded with an answer that contains a text. */
    private void callUntil(String method, String uri, String body, String expected) {
        HttpRequest request = HttpRequest.newBuilder(URI.create(uri))
                .method(method, HttpRequest.BodyPublishers.ofString(body))
                .build();
        String last = "no answer";
        for (int calls = 0; calls < MAX_CALLS; calls++) {
            try {
                HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
                last = response.statusCode() + " " + response.body();
                if (response.statusCode() == 200 && response.body().contains(expected)) {
                    return;
                }
            } catch (IOException e) {
                last = e.toString();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
            sleep(RETRY_MS);
        }
        throw new IllegalStateException("no answer with \"" + expected + "\" to " + method + " " + uri + ": " + last);
    }

    private static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
