package org.dogwoodwood.soak;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import org.dogwoodwood.node.settings.Endpoint;

/** A VM with a node process; sends the heartbeats of its target. */
final class SoakVm {

    private static final String LOOPBACK = "127.0.0.1";
    private static final String GRACE = "6s";
    private static final Duration CALL_TIMEOUT = Duration.ofSeconds(1);
    private static final int OK = 200;

    private final String name;
    private final String dataCentre;
    private final String service;
    private final Endpoint target;
    private final Endpoint callers;
    private final Endpoint readiness;
    private final Endpoint announcements;
    private final NodeDaemon daemon;
    private final long startedMillis = System.currentTimeMillis();
    private final AtomicInteger heartbeats = new AtomicInteger();

    private SoakVm(
            int number, String service, FreePorts ports, Endpoint store, Path folder, String path)
            throws IOException {
        this.name = "vm-" + number;
        this.dataCentre = "data-centre-" + number % 2;
        this.service = service;
        this.target = ports.next();
        this.callers = ports.next();
        this.readiness = ports.next();
        this.announcements = ports.next();
        Path settings = folder.resolve(name + ".json");
        Files.writeString(settings, settings(ports, store));
        this.daemon = new NodeDaemon(settings, folder.resolve(name + ".log"), path);
    }

    /** Creates a VM whose node is not started; its files go into a folder. */
    static SoakVm create(
            int number,
            String service,
            FreePorts ports,
            Endpoint store,
            Path folder,
            String nodeClassPath)
            throws IOException {
        return new SoakVm(number, service, ports, store, folder, nodeClassPath);
    }

    String name() {
        return name;
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

    /** Starts the node; its process ends no later than this one. */
    void startNode() throws IOException {
        daemon.start();
        Runtime.getRuntime().addShutdownHook(new Thread(daemon::killNow));
    }

    /** Sends a heartbeat; the next one follows whether or not it was acknowledged. */
    void sendHeartbeat(HttpClient client) {
        String heartbeat =
                ("{\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\","
                                + "\"slots\":%d,\"state\":\"ready\",\"coldLeft\":\"0ms\","
                                + "\"born\":%d,\"seq\":%d}")
                        .formatted(
                                service,
                                target,
                                dataCentre,
                                StutteringTarget.SLOTS,
                                startedMillis,
                                heartbeats.incrementAndGet());
        HttpRequest request =
                request(announcements, PlatformNames.INSTANCES_PATH + name)
                        .PUT(HttpRequest.BodyPublishers.ofString(heartbeat))
                        .build();
        var unused = client.sendAsync(request, HttpResponse.BodyHandlers.discarding());
    }

    /** Returns whether the node accepts requests. */
    boolean isReady(HttpClient client) throws InterruptedException {
        HttpRequest request = request(readiness, PlatformNames.READY_PATH).build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == OK;
        } catch (IOException e) {
            return false;
        }
    }

    private static HttpRequest.Builder request(Endpoint to, String path) {
        return HttpRequest.newBuilder(URI.create("http://" + to + path))
                .version(HttpClient.Version.HTTP_1_1)
                .timeout(CALL_TIMEOUT);
    }

    private String settings(FreePorts ports, Endpoint store) throws IOException {
        return """
        {"self": {"node": "%s", "zone": "%s", "service": "%s", "ip": "%s",
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
