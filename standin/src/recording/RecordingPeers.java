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
import java.util.Base64;
import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

import org.fulmarreach.core.jobs.WorkerRef;
import org.fulmarreach.protocol.io.JobRecords;
import org.fulmarreach.protocol.io.JobTopics;
import org.fulmarreach.protocol.io.ThriftBytes;
import org.fulmarreach.protocol.thrift.Body;
import org.fulmarreach.protocol.thrift.Frame;
import org.fulmarreach.protocol.thrift.GuardReport;
import org.fulmarreach.protocol.thrift.LeaderOrders;
import org.fulmarreach.protocol.thrift.PaceRun;
import org.fulmarreach.protocol.thrift.StartRun;
import org.fulmarreach.protocol.thrift.StopRun;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;

/**
 * Runs a guard beside stand-ins of its worker, the store and a leader, on free loopback ports. The build records the
 * classes that this guard loads, so that the class archive also contains what a guard with a worker and a leader uses.
 * Usage: {@code RecordingPeers TEMPLATE SETTINGS COMMAND...}. It writes the settings of the guard from the template and
 * ends with the exit code of the command.
 */
public final class RecordingPeers {
    private static final String HOST = "127.0.0.1";
    private static final String WORKER_ID = "i-record";
    private static final int HEARTBEAT_INTERVAL_MS = 1_100;
    private static final int START_RETRY_MS = 50;

    /**
     * Numbers of the reports that are answered with an order. A guard drops a start that arrives before the worker's
     * first answer.
     */
    private static final int START_REPORT = 4;

    private static final int SHARE_REPORT = 5;
    private static final int STOP_REPORT = 6;

    /** Number of the first report whose answer acknowledges the end of a run. */
    private static final int ACKNOWLEDGED_REPORT = 7;

    private static final Pattern WAIT_MS = Pattern.compile("\"wait_ms\":(\\d+)");
    private static final String RUNNING = "[\"5c0e7a21d94b36f8.0.1.%d\",1,\"00000bb87a21d94b\",41,37]";

    private final long bornMs = System.currentTimeMillis();
    private final AtomicInteger reports = new AtomicInteger();
    private final String leaderAddress;

    private RecordingPeers(int leaderPort) {
        this.leaderAddress = HOST + ":" + leaderPort;
    }

    /** Starts the peers, then the guard, and ends with it. */
    public static void main(String[] args) throws IOException, InterruptedException {
        ServerSocket leader = new ServerSocket(0, 0, InetAddress.getByName(HOST));
        RecordingPeers peers = new RecordingPeers(leader.getLocalPort());
        HttpServer server = HttpServer.create(new InetSocketAddress(HOST, 0), 0);
        server.createContext("/", peers::answer);
        server.setExecutor(Executors.newCachedThreadPool());
        server.start();
        new Thread(() -> peers.acceptGuards(leader), "leader").start();
        int heartbeatPort = findFreePort();
        URI uri = URI.create("http://" + HOST + ":" + heartbeatPort + "/v1/instances/" + WORKER_ID + "/heartbeat");
        new Thread(() -> peers.sendHeartbeats(uri), "heartbeats").start();
        String settings = Files.readString(Path.of(args[0]))
                .replace("ROLE", "guard")
                .replace("HEARTBEAT_PORT", String.valueOf(heartbeatPort))
                .replace("PEER_PORT", String.valueOf(server.getAddress().getPort()));
        Files.writeString(Path.of(args[1]), settings);
        Process guard = new ProcessBuilder(List.of(args).subList(2, args.length))
                .inheritIO()
                .start();
        System.exit(guard.waitFor());
    }

    private static int findFreePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
            return socket.getLocalPort();
        }
    }

    private void answer(HttpExchange exchange) throws IOException {
        String request = new String(exchange.getRequestBody().readAllBytes(), StandardCharsets.UTF_8);
        String path = exchange.getRequestURI().getPath();
        String body = path.equals("/v1/log-newest") ? leaderRecord() : workerAnswer(path, request);
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        exchange.getResponseHeaders().set("Content-Type", "application/json");
        exchange.getResponseHeaders().set("Fulmarreach-Instance-Id", WORKER_ID);
        exchange.sendResponseHeaders(200, bytes.length);
        exchange.getResponseBody().write(bytes);
        exchange.close();
    }

    private String leaderRecord() {
        byte[] record = JobRecords.encodeLeader(1, "leader", leaderAddress);
        return "{\"items\":[{\"key\":\"" + JobTopics.LEADER_KEY + "\",\"value\":\""
                + Base64.getEncoder().encodeToString(record) + "\"}],\"has_more\":false,\"end_offset\":1}";
    }

    private String workerAnswer(String path, String request) {
        String clock = "\"born\":" + bornMs + ",\"clock_ms\":" + (System.currentTimeMillis() - bornMs);
        if (!path.equals("/v1/hold")) {
            return "{" + clock + "}";
        }
        Matcher wait = WAIT_MS.matcher(request);
        if (wait.find()) {
            sleep(Integer.parseInt(wait.group(1)));
        }
        // The worker lists an end until the leader acknowledges it, so that the guard also reports an end.
        String ended = reports.get() > 1 && reports.get() < ACKNOWLEDGED_REPORT
                ? "[1,\"5c0e7a21d94b36f8.0.1.9\",1,\"done\",\"\"]"
                : "";
        String running = String.join(
                ",", RUNNING.formatted(1), RUNNING.formatted(2), RUNNING.formatted(3), RUNNING.formatted(4));
        return "{" + clock + ",\"running\":[" + running + "],\"ended\":[" + ended + "]}";
    }

    private void acceptGuards(ServerSocket leader) {
        while (true) {
            try {
                Socket guard = leader.accept();
                guard.setTcpNoDelay(true);
                new Thread(() -> serveGuard(guard), "guard").start();
            } catch (IOException e) {
                System.err.println("cannot accept a guard: " + e);
                return;
            }
        }
    }

    private void serveGuard(Socket guard) {
        try (guard) {
            DataInputStream in = new DataInputStream(guard.getInputStream());
            DataOutputStream out = new DataOutputStream(guard.getOutputStream());
            while (true) {
                byte[] bytes = in.readNBytes(in.readInt());
                Body body = ThriftBytes.decode(bytes, new Frame()).getBody();
                if (body.isSetGuardReport()) {
                    byte[] orders = ThriftBytes.encode(new Frame(0, Body.leaderOrders(orders(body.getGuardReport()))));
                    byte[] frame = ByteBuffer.allocate(Integer.BYTES + orders.length)
                            .putInt(orders.length)
                            .put(orders)
                            .array();
                    out.write(frame);
                    out.flush();
                }
            }
        } catch (IOException e) {
            System.err.println("guard disconnected: " + e);
        }
    }

    private LeaderOrders orders(GuardReport report) {
        boolean knowsWorker = report.getWorker() != null;
        int number = knowsWorker ? reports.incrementAndGet() : 0;
        String task = "5c0e7a21d94b36f8.0.1.1";
        return new LeaderOrders(
                1,
                report.getTickMs(),
                knowsWorker
                        ? report.getWorker().getRef()
                        : JobRecords.toThrift(new WorkerRef(report.getGuard(), WORKER_ID, bornMs)),
                number == START_REPORT ? List.of(new StartRun(task, 1, "{}", "")) : List.of(),
                number == STOP_REPORT ? List.of(new StopRun(task, 1)) : List.of(),
                number == SHARE_REPORT ? List.of(new PaceRun(task, 1, 50)) : List.of(),
                number >= ACKNOWLEDGED_REPORT ? 1 : 0,
                100);
    }

    private void sendHeartbeats(URI uri) {
        HttpClient client =
                HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
        for (int sequence = 1; ; sequence++) {
            String body = "{\"service\":\"record\",\"address\":\"" + HOST + ":1\",\"zone\":\"none\",\"version\":\"v1\","
                    + "\"slots\":8,\"state\":\"ready\",\"cold_remaining_ms\":0,\"capacity\":{\"cpu\":16000,"
                    + "\"mem_mb\":32768,\"gpu\":0},\"labels\":[\"a\",\"r1-3\"],\"born\":" + bornMs
                    + ",\"clock_ms\":" + (System.currentTimeMillis() - bornMs) + ",\"sequence\":" + sequence + "}";
            HttpRequest request = HttpRequest.newBuilder(uri)
                    .header("Content-Type", "application/json")
                    .POST(HttpRequest.BodyPublishers.ofString(body))
                    .build();
            try {
                client.send(request, HttpResponse.BodyHandlers.ofString());
                sleep(HEARTBEAT_INTERVAL_MS);
            } catch (IOException e) {
                // The guard is not listening yet.
                sleep(START_RETRY_MS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
                return;
            }
        }
    }

    private static void sleep(long ms) {
        try {
            TimeUnit.MILLISECONDS.sleep(ms);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
