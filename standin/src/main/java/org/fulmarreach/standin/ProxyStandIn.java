package org.fulmarreach.standin;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;

import org.apache.pekko.http.javadsl.model.HttpRequest;
import org.apache.pekko.http.javadsl.model.HttpResponse;

import com.fasterxml.jackson.databind.JsonNode;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** Subcommand {@code proxy}: fault-injecting TCP proxy for several addresses, configured over HTTP. */
final class ProxyStandIn {
    private final List<ProxyPair> pairs;
    private final StandInServer control;

    ProxyStandIn(StandInRuntime runtime, int controlPort, List<ProxyPair> pairs) {
        this.pairs = List.copyOf(pairs);
        this.control = new StandInServer(runtime.system(), controlPort, this::handle, connections -> {});
    }

    static void register(Subparsers commands, Map<String, StandInMain.Command> byName) {
        Subparser parser = commands.addParser("proxy").help("fault-injecting TCP proxy");
        parser.addArgument("--control-port").type(Integer.class).setDefault(0);
        parser.addArgument("--listen")
                .type(Integer.class)
                .action(Arguments.append())
                .help("listening port, 0 for a free one; give one for each --to, or none for free ports");
        parser.addArgument("--to")
                .action(Arguments.append())
                .required(true)
                .help("forwarding address: port or 127.0.0.1:port");
        parser.addArgument("--seed").type(Long.class).setDefault(1L);
        byName.put("proxy", ProxyStandIn::run);
    }

    private static void run(Namespace arguments, StandInRuntime runtime) throws Exception {
        List<Integer> listen = arguments.getList("listen");
        List<String> to = arguments.getList("to");
        if (listen != null && listen.size() != to.size()) {
            throw new IllegalArgumentException("--listen must be given once for each --to, or not at all");
        }
        List<ProxyPair> pairs = new ArrayList<>();
        for (int i = 0; i < to.size(); i++) {
            long seed = arguments.getLong("seed") + 2L * i;
            pairs.add(new ProxyPair(listen == null ? 0 : listen.get(i), parseAddress(to.get(i)), seed));
        }
        ProxyStandIn proxy = new ProxyStandIn(runtime, arguments.getInt("control_port"), pairs);
        List<String> addresses = pairs.stream()
                .map(pair -> StandInServer.HOST + ":" + pair.port())
                .toList();
        StandInMain.printReady(Map.of("control", proxy.control.address(), "listen", addresses));
        StandInMain.awaitSignal();
    }

    static InetSocketAddress parseAddress(String text) {
        String[] parts = text.split(":");
        if (parts.length == 2 && !parts[0].equals(StandInServer.HOST)) {
            throw new IllegalArgumentException(
                    "only addresses on " + StandInServer.HOST + " are allowed, not " + parts[0]);
        }
        return new InetSocketAddress(StandInServer.HOST, Integer.parseInt(parts[parts.length - 1]));
    }

    StandInServer control() {
        return control;
    }

    private CompletionStage<HttpResponse> handle(HttpRequest request, byte[] body) {
        if (request.getUri().path().equals("/control")) {
            JsonNode settings = StandInServer.parse(body);
            selectPairs(settings).forEach(pair -> configure(pair, settings));
        }
        List<Map<String, Object>> described =
                pairs.stream().map(ProxyPair::describe).toList();
        return CompletableFuture.completedFuture(StandInServer.json(200, Map.of("pairs", described)));
    }

    private List<ProxyPair> selectPairs(JsonNode settings) {
        JsonNode pair = settings.path("pair");
        if (!pair.isInt()) {
            return pairs;
        }
        if (pair.asInt() < 0 || pair.asInt() >= pairs.size()) {
            throw new IllegalArgumentException("no proxied address has the index " + pair.asInt());
        }
        return List.of(pairs.get(pair.asInt()));
    }

    private static void configure(ProxyPair pair, JsonNode settings) {
        String direction = settings.path("direction").asText("both");
        if (!direction.equals("down")) {
            pair.up().configure(settings);
        }
        if (!direction.equals("up")) {
            pair.down().configure(settings);
        }
        if (settings.has("refuse")) {
            pair.setRefusing(settings.get("refuse").asBoolean());
        }
        if (settings.path("silent").asBoolean()) {
            pair.silenceOpenConnections();
        }
        if (settings.path("reset").asBoolean()) {
            pair.resetAll();
        }
    }
}
