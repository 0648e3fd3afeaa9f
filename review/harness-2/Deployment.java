import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;

/** A small deployment: a store, machines on loopback addresses, and a configuration. */
final class Deployment implements AutoCloseable {

    static final String HOST = "jepu9.example";
    static final String SAFE_PATH = "/safe/";
    static final String UNSAFE_PATH = "/unsafe/";

    private static final String[] ZONES = {"pnw-a", "pnw-b", "pnw-c", "pnw-d"};

    final Record record;
    final Store store;
    final List<Node> nodes = new ArrayList<>();
    final List<Backend> backends = new ArrayList<>();
    final Path folder;

    /** Creates a deployment with a machine in each of up to four zones, one for each service. */
    Deployment(Record record, String... services) throws IOException {
        this(record, List.of(ZONES).subList(0, services.length), services);
    }

    /** Creates a deployment whose machines lie in the given zones and run the given services. */
    Deployment(Record record, List<String> zones, String... services) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review-2-");
        ThreadLocalRandom random = ThreadLocalRandom.current();
        String net = "127." + random.nextInt(10, 250) + "." + random.nextInt(1, 250) + ".";
        this.store = new Store(net + "250");
        List<String> ips = new ArrayList<>();
        for (int i = 0; i < services.length; i++) {
            ips.add(net + (i + 1));
        }
        Node.Ports ports = Node.Ports.find(ips);
        for (int i = 0; i < services.length; i++) {
            String zone = zones.get(i);
            int number = 1 + (int) zones.subList(0, i).stream().filter(zone::equals).count();
            nodes.add(
                    new Node(
                            "sidecar-" + zone + "-" + number, ips.get(i), zone, services[i], ports,
                            folder, store.address(), record));
        }
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /**
     * Writes a configuration with a safe and an unsafe route to each service; the paths are
     * /safe/SERVICE/ and /unsafe/SERVICE/.
     */
    void configure(int version, List<String> services, String timeout) {
        List<String> routes = new ArrayList<>();
        List<String> definitions = new ArrayList<>();
        for (String service : services) {
            routes.add(route("r-safe-" + service, SAFE_PATH + service + "/", "safe", timeout, service));
            routes.add(
                    route("r-unsafe-" + service, UNSAFE_PATH + service + "/", "unsafe", timeout, service));
            definitions.add(
                    "\"" + service + "\":{\"healthPath\":\"/health\",\"maxConnections\":240,"
                            + "\"protocol\":\"h1\",\"tls\":false,\"coldStart\":\"3s\","
                            + "\"coldPerS\":36.0}");
        }
        String document =
                "{\"version\":\"" + String.format("%08x", version) + "\",\"routes\":{"
                        + String.join(",", routes) + "},\"services\":{"
                        + String.join(",", definitions) + "},\"limits\":{\"maxHeaderBytes\":16384,"
                        + "\"maxBodyBytes\":67108864,\"headerTimeout\":\"3000ms\","
                        + "\"idleTimeout\":\"15000ms\"}}";
        store.put("keyed.op", "config", document);
        record.write("operator writes configuration %d", version);
    }

    private static String route(
            String name, String prefix, String kind, String timeout, String service) {
        return "\"" + name + "\":{\"hostname\":\"" + HOST + "\",\"pathPrefix\":\"" + prefix
                + "\",\"kind\":\"" + kind + "\",\"timeout\":\"" + timeout
                + "\",\"targetLatency\":\"400ms\",\"priority\":1,\"service\":\"" + service
                + "\",\"maxAttempts\":2}";
    }

    /** Starts all nodes; returns whether they are ready in time. */
    boolean startNodes() throws IOException, InterruptedException {
        for (Node node : nodes) {
            node.start();
        }
        for (Node node : nodes) {
            if (!node.awaitReady(30_000)) {
                record.write("%s is not ready", node.name);
                return false;
            }
        }
        return true;
    }

    /** Starts a backend beside a node, with heartbeats. */
    Backend startBackend(Backend backend) throws IOException {
        backends.add(backend);
        backend.start();
        backend.startBeats();
        return backend;
    }

    /** Sends safe requests until one succeeds at each of the given nodes; returns whether so. */
    boolean awaitServed(List<Node> from, String service, long millis) throws InterruptedException {
        long until = Record.now() + millis;
        for (Node node : from) {
            int good = 0;
            while (good < 3) {
                int status =
                        Client.request(node, "GET", HOST, SAFE_PATH + service + "/warm", 1_000, new byte[0])
                                .status();
                good = status == 200 ? good + 1 : 0;
                if (Record.now() > until) {
                    record.write("%s does not serve %s: %d", node.name, service, status);
                    return false;
                }
                Thread.sleep(50);
            }
        }
        return true;
    }

    @Override
    public void close() {
        for (Backend backend : backends) {
            backend.stopBeats();
        }
        for (Node node : nodes) {
            try {
                node.stopAtEnd();
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        store.stop();
    }
}
