package org.dogwoodwood.cli.node;

import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.CompletableFuture;
import java.util.function.Function;
import org.dogwoodwood.cli.CommandException;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.http.HttpRequestException;
import org.dogwoodwood.cli.http.HttpResponse;
import org.dogwoodwood.cli.http.NetworkAddress;
import org.dogwoodwood.cli.http.SimpleHttpClient;
import org.dogwoodwood.cli.settings.ToolSettings;
import org.dogwoodwood.cli.support.Pause;
import org.dogwoodwood.core.ErrorCode;

/**
 * The nodes whose admin addresses are known, either from the settings or reported by other nodes.
 */
public final class Cluster {

    private static final Duration TIMEOUT = Duration.ofSeconds(3);
    private static final Duration POLL_INTERVAL = Duration.ofMillis(200);

    private final SimpleHttpClient http;
    private final ToolSettings settings;

    private Cluster(SimpleHttpClient http, ToolSettings settings) {
        this.http = http;
        this.settings = settings;
    }

    /** Returns the cluster that is reached through the nodes of the settings. */
    public static Cluster of(SimpleHttpClient http, ToolSettings settings) {
        return new Cluster(http, settings);
    }

    /** Queries the status of all nodes. */
    public Snapshot snapshot() {
        List<NodeReply> replies = new ArrayList<>(queryStatuses(settings.requireNodes()));
        Set<NetworkAddress> queried = new LinkedHashSet<>(settings.nodes());
        settings.adminPort()
                .ifPresent(
                        port -> {
                            List<NetworkAddress> others = discoverAddresses(replies, queried, port);
                            replies.addAll(queryStatuses(others));
                        });
        return new Snapshot(List.copyOf(replies), notQueried(replies));
    }

    /**
     * Polls all nodes until each of them meets a condition.
     *
     * @param limit the maximum time to wait
     * @param check returns why a node does not meet the condition, or empty if it does
     * @return the nodes that do not meet the condition at the end; empty if all do
     */
    public List<UnmetCondition> await(
            Duration limit, Function<NodeStatus, Optional<String>> check) {
        long end = System.nanoTime() + limit.toNanos();
        while (true) {
            List<UnmetCondition> unmet = unmetConditions(snapshot(), check);
            if (unmet.isEmpty() || System.nanoTime() > end) {
                return unmet;
            }
            Pause.sleep(POLL_INTERVAL);
        }
    }

    private static List<UnmetCondition> unmetConditions(
            Snapshot snapshot, Function<NodeStatus, Optional<String>> check) {
        List<UnmetCondition> unmet = new ArrayList<>();
        for (NodeReply reply : snapshot.replies()) {
            Optional<String> reason =
                    reply.status().map(check).orElseGet(() -> Optional.of(reply.failure()));
            String name = reply.status().map(NodeStatus::node).orElse(reply.address().toString());
            reason.ifPresent(text -> unmet.add(new UnmetCondition(name, text)));
        }
        return unmet;
    }

    private List<NodeReply> queryStatuses(List<NetworkAddress> addresses) {
        List<CompletableFuture<NodeReply>> replies =
                addresses.stream()
                        .map(
                                address ->
                                        http.getAsync(
                                                        address,
                                                        "/status",
                                                        settings.adminHeaders(),
                                                        TIMEOUT)
                                                .handle(
                                                        (response, failure) ->
                                                                toReply(
                                                                        address, response,
                                                                        failure)))
                        .toList();
        return replies.stream().map(CompletableFuture::join).toList();
    }

    private static NodeReply toReply(
            NetworkAddress address, HttpResponse response, Throwable failure) {
        if (failure != null) {
            Throwable cause = failure.getCause() == null ? failure : failure.getCause();
            String detail =
                    cause instanceof HttpRequestException known
                            ? known.detail()
                            : "It does not answer.";
            return NodeReply.failed(address, detail);
        }
        if (response.status() != 200 || !response.json().path("node").isTextual()) {
            return NodeReply.failed(
                    address,
                    "It did not return a node status (HTTP status " + response.status() + ").");
        }
        return NodeReply.of(address, NodeStatus.from(response.json()));
    }

    private static List<NetworkAddress> discoverAddresses(
            List<NodeReply> replies, Set<NetworkAddress> queried, int port) {
        return members(replies).stream()
                .filter(member -> !member.isDeadOrLeaving())
                .map(member -> new NetworkAddress(member.host(), port))
                .filter(address -> !queried.contains(address))
                .distinct()
                .toList();
    }

    private static Set<String> notQueried(List<NodeReply> replies) {
        Set<String> names = new TreeSet<>();
        members(replies).stream()
                .filter(member -> !member.isDeadOrLeaving())
                .forEach(member -> names.add(member.node()));
        replies.forEach(reply -> reply.status().ifPresent(status -> names.remove(status.node())));
        return names;
    }

    private static List<MemberStatus> members(List<NodeReply> replies) {
        return replies.stream()
                .flatMap(reply -> reply.status().stream())
                .flatMap(status -> status.members().stream())
                .toList();
    }

    /**
     * Sends a request to the first reachable node, and retries with the next one if there is no
     * response; the request must be idempotent.
     *
     * @throws CommandException if no node answers
     */
    public HttpResponse postToAny(String path, String body) {
        boolean maybeSent = false;
        for (NetworkAddress address : settings.requireNodes()) {
            try {
                return http.post(address, path, settings.adminHeaders(), body, TIMEOUT);
            } catch (HttpRequestException e) {
                maybeSent |= e.mayHaveTakenEffect();
            }
        }
        throw noNodeAnswers(maybeSent);
    }

    /**
     * Reads from the first reachable node.
     *
     * @throws CommandException if no node answers
     */
    public HttpResponse getFromAny(String path) {
        for (NetworkAddress address : settings.requireNodes()) {
            Optional<HttpResponse> response = tryGet(address, path);
            if (response.isPresent()) {
                return response.get();
            }
        }
        throw noNodeAnswers(false);
    }

    private Optional<HttpResponse> tryGet(NetworkAddress address, String path) {
        try {
            return Optional.of(http.get(address, path, settings.adminHeaders(), TIMEOUT));
        } catch (HttpRequestException e) {
            return Optional.empty();
        }
    }

    private CommandException noNodeAnswers(boolean maybeSent) {
        ExitStatus status = maybeSent ? ExitStatus.OUTCOME_UNKNOWN : ExitStatus.UNREACHABLE;
        return CommandException.of(
                status,
                ErrorCode.UNREACHABLE,
                "No node answers at " + addresses() + ".",
                "Check the addresses, or name other nodes with --node; it is safe to retry.");
    }

    private String addresses() {
        return String.join(", ", settings.nodes().stream().map(NetworkAddress::toString).toList());
    }

    /**
     * The replies of all queried nodes.
     *
     * @param replies the replies
     * @param notQueried the names of members whose admin address is not known
     */
    public record Snapshot(List<NodeReply> replies, Set<String> notQueried) {

        /** Returns the statuses of the nodes that replied. */
        public List<NodeStatus> statuses() {
            return replies.stream().flatMap(reply -> reply.status().stream()).toList();
        }

        /** Returns each member by name, as reported by the first node that knows it. */
        public Map<String, MemberStatus> members() {
            Map<String, MemberStatus> members = new TreeMap<>();
            statuses().stream()
                    .flatMap(status -> status.members().stream())
                    .forEach(member -> members.putIfAbsent(member.node(), member));
            return members;
        }
    }

    /**
     * A node that does not meet a condition.
     *
     * @param node the name of the node, or its address if it does not answer
     * @param reason why it does not meet the condition
     */
    public record UnmetCondition(String node, String reason) {}
}
