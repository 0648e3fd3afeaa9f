package org.dogwoodwood.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.time.Duration;
import java.util.OptionalInt;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwood.node.settings.Endpoint;

/** A VM with a node process; sends the heartbeats of its target. */
final class SoakVm {

    private static final String LOOPBACK = "127.0.0.1";
    private static final String GRACE = LifeChecker.GRACE_MILLIS + "ms";
    private static final int DATA_CENTRES = 3;
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final int OK = 200;

    private final String name;
    private final String dataCentre;
    private final String service;
    private final Endpoint target;
    private final Endpoint callers;
    private final Endpoint readiness;
    private final Endpoint announcements;
    private final Path settings;
    private final String settingsText;
    private final NodeDaemon daemon;
    private final AtomicInteger revisions = new AtomicInteger();
    private final long startedMillis = System.currentTimeMillis();
    private final AtomicInteger heartbeats = new AtomicInteger();

    private SoakVm(
            int number,
            String service,
            FreePorts ports,
            Endpoint store,
            Path folder,
            NodeSupport support)
            throws IOException {
        this.name = "vm-" + number;
        this.dataCentre = "data-centre-" + number % DATA_CENTRES;
        this.service = service;
        this.target = ports.next();
        this.callers = ports.next();
        this.readiness = ports.next();
        this.announcements = ports.next();
        this.settings = folder.resolve(name + ".json");
        this.settingsText = settings(ports, store);
        this.daemon = new NodeDaemon(name, settings, folder, support);
        rewriteSettings();
    }

    /** Creates a VM whose node is not started; its files go into a folder. */
    static SoakVm create(
            int number,
            String service,
            FreePorts ports,
            Endpoint store,
            Path folder,
            NodeSupport support)
            throws IOException {
        return new SoakVm(number, service, ports, store, folder, support);
    }

    String name() {
        return name;
    }

    String service() {
        return service;
    }

    Endpoint target() {
        return target;
    }

    Endpoint callers() {
        return callers;
    }

    NodeDaemon node() {
        return daemon;
    }

    /** Starts the node; its processes end no later than this one. */
    void startNode() throws IOException {
        daemon.start();
        TroubleStep end = daemon::shutDown;
        Runtime.getRuntime().addShutdownHook(new Thread(end.counting(new Counts())));
    }

    /** Replaces the settings file by one with a new revision, in one step. */
    synchronized void rewriteSettings() throws IOException {
        Path next = settings.resolveSibling(name + ".json.next");
        Files.writeString(next, settingsText.formatted(revisions.incrementAndGet()));
        Files.move(next, settings, StandardCopyOption.ATOMIC_MOVE);
    }

    /** Sends a heartbeat; the next one follows whether or not it was acknowledged. */
    void sendHeartbeat(HttpClient client) {
        int sequence = heartbeats.incrementAndGet();
        sendHeartbeat(client, StutteringTarget.SLOTS, name, startedMillis, sequence, false);
    }

    /**
     * Sends a heartbeat of a process of the target.
     *
     * @param slots how many requests it runs at a time
     * @param instance the name of the process
     * @param processStartedMillis when it started, in milliseconds of the wall clock
     * @param sequence the number of the heartbeat
     * @param draining whether the process says that it leaves
     */
    void sendHeartbeat(
            HttpClient client,
            int slots,
            String instance,
            long processStartedMillis,
            int sequence,
            boolean draining) {
        String heartbeat =
                ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                                + "\"slots\":%d,\"state\":\"%s\",\"coldLeft\":\"0ms\","
                                + "\"born\":%d,\"seq\":%d}")
                        .formatted(
                                service,
                                target,
                                dataCentre,
                                slots,
                                draining ? "draining" : "ready",
                                processStartedMillis,
                                sequence);
        HttpRequest request =
                request(announcements, PlatformNames.INSTANCES_PATH + instance)
                        .PUT(HttpRequest.BodyPublishers.ofString(heartbeat))
                        .build();
        var unused = client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
    }

    /** Returns the status of the readiness port, or nothing if it did not answer. */
    OptionalInt readinessStatus(HttpClient client) throws InterruptedException {
        HttpRequest request = request(readiness, PlatformNames.READY_PATH).build();
        try {
            return OptionalInt.of(
                    client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode());
        } catch (IOException e) {
            return OptionalInt.empty();
        }
    }

    /** Returns whether the node accepts requests. */
    boolean isReady(HttpClient client) throws InterruptedException {
        OptionalInt status = readinessStatus(client);
        return status.isPresent() && status.getAsInt() == OK;
    }

    private static HttpRequest.Builder request(Endpoint to, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + to + path))
                .version(HttpClient.Version.HTTP_1_1)
                .timeout(CALL_TIMEOUT);
    }

    // Returns the settings with a place for the revision, which is unknown to the node.
    private String settings(FreePorts ports, Endpoint store) throws IOException {
        return """
        {"revision": %%d, "self": {"node": "%s", "zone": "%s", "service": "%s", "ip": "%s",
          "appAddress": "%s"},
         "network": {"listen": {"outbound": "%s", "inbound": "%s", "ready": "%s",
           "control": "%s"}, "internalPorts": [%d]},
         "platform": {"platform": {"address": "%s"}},
         "terms": {"bounds": {"grace": "%s"}}}
        """
                .formatted(
                        name,
                        dataCentre,
                        service,
                        LOOPBACK,
                        target,
                        callers,
                        ports.next(),
                        readiness,
                        announcements,
                        ports.next().port(),
                        store,
                        GRACE);
    }
}
