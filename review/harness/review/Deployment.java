package review;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.BooleanSupplier;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;

/** A small deployment: the store, machines with their nodes, and backends. */
final class Deployment implements AutoCloseable {

    static final String HOST = "127.0.0.1";

    private static final Path DEPLOY_FILE = Path.of("deploy", "system.toml");
    private static final Pattern RUN = Pattern.compile("(?m)^run = \"(.*)\"$");
    private static final long START_MILLIS = 30_000;
    private static final Set<Integer> USED_PORTS = new HashSet<>();

    private final Record record;
    private final Path folder;
    private final Store store;
    private final List<Machine> machines = new ArrayList<>();
    private final List<Backend> backends = new ArrayList<>();

    Deployment(Record record) throws IOException {
        this.record = record;
        this.folder = Files.createTempDirectory("review");
        this.store = new Store(HOST, freePort(), record);
    }

    Store store() {
        return store;
    }

    Machine addMachine(String name, String zone, String service) throws IOException {
        Machine machine = new Machine(name, zone, service, store.port(), folder, record);
        machines.add(machine);
        return machine;
    }

    /** Keeps a backend, which is closed with the deployment. */
    <T extends Backend> T add(T backend) {
        backends.add(backend);
        return backend;
    }

    /** Starts all nodes. */
    void startNodes() throws IOException {
        for (Machine machine : machines) {
            machine.start();
        }
    }

    /** Waits until all nodes are ready. */
    void awaitReady() {
        await("All nodes are ready", () -> machines.stream().allMatch(Machine::isReady));
    }

    /** Waits for a condition; fails if it does not hold in time. */
    void await(String what, BooleanSupplier condition) {
        long endNanos = System.nanoTime() + START_MILLIS * 1_000_000;
        while (!condition.getAsBoolean()) {
            if (System.nanoTime() - endNanos > 0) {
                throw new IllegalStateException("Not in time: " + what);
            }
            sleep(50);
        }
        record.write("%s", what);
    }

    /** Returns the words of the run command in the deploy file. */
    static List<String> runCommand() throws IOException {
        Matcher matcher = RUN.matcher(Files.readString(DEPLOY_FILE));
        if (!matcher.find()) {
            throw new IOException("The deploy file has no run command.");
        }
        return List.of(matcher.group(1).split(" "));
    }

    static synchronized int freePort() {
        while (true) {
            try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(HOST))) {
                if (USED_PORTS.add(socket.getLocalPort())) {
                    return socket.getLocalPort();
                }
            } catch (IOException e) {
                throw new IllegalStateException("There is no free port.", e);
            }
        }
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    /** Ends all processes and removes the temporary folder. */
    @Override
    public void close() throws IOException {
        machines.forEach(Machine::end);
        backends.forEach(Backend::close);
        store.close();
        String kept = System.getenv("KEEP_LOGS");
        if (kept != null) {
            System.err.println("logs: " + folder);
            return;
        }
        if (!Files.exists(folder)) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        }
    }
}
