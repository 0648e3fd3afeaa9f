import java.util.List;

/**
 * The backend of a service crashes once and is back after some seconds. The nodes run all the
 * while, and another service is not touched.
 */
final class CaseBackendReturns extends CaseMain {

    private static final String CRASHING = "huvo11a";
    private static final String OTHER = "kafi81c";
    private static final int DEADLINE_MILLIS = 1_000;
    private static final int INTERVAL_MILLIS = 50;
    private static final long LENGTH_MILLIS = 70_000;
    private static final long CRASH_MILLIS = 4_000;

    /** Within the length that the site files give to crashes of backends, 4.5 s. */
    private static final long DOWN_MILLIS = 4_000;

    public static void main(String[] arguments) {
        new CaseBackendReturns().run(arguments[0]);
    }

    @Override
    int play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, CRASHING, OTHER, OTHER)) {
            deployment.configure(7, List.of(CRASHING, OTHER), "1500ms");
            if (!deployment.startNodes()) {
                return COULD_NOT_RUN;
            }
            Backend crashing = deployment.startBackend(quiet("i-7f3a91c0", deployment, 0));
            deployment.startBackend(quiet("i-7f3a91c1", deployment, 1));
            deployment.startBackend(quiet("i-7f3a91c2", deployment, 2));
            if (!deployment.awaitServed(deployment.nodes, CRASHING, 20_000)
                    || !deployment.awaitServed(deployment.nodes, OTHER, 20_000)) {
                return COULD_NOT_RUN;
            }
            Thread.sleep(1_000);
            long start = Record.now();
            Kinds kinds = new Kinds(record, deployment, DEADLINE_MILLIS);
            for (String service : List.of(CRASHING, OTHER)) {
                String prefix = Deployment.SAFE_PATH + service + "/";
                kinds.send(service, "GET", () -> prefix + Client.newId(), INTERVAL_MILLIS);
            }
            if (trouble) {
                sleepUntil(start + CRASH_MILLIS);
                crashing.stop();
                Thread.sleep(DOWN_MILLIS);
                deployment.startBackend(quiet("i-02d9e6b0", deployment, 0));
            }
            sleepUntil(start + LENGTH_MILLIS);
            kinds.stop();
            return kinds.isStarved(CRASHING) ? BROKEN : HELD;
        }
    }

    private static Backend quiet(String id, Deployment deployment, int machine) {
        return new Backend(id, deployment.nodes.get(machine), 18, deployment.record) {
            @Override
            void onRun(HttpMessage request, String requestId) {
                // The counts of answers are written every few seconds instead.
            }
        };
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - Record.now()));
    }
}
