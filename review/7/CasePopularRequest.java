import java.util.List;

/**
 * Two of the three backends of a service crash, one after the other, and come back. No request is
 * the cause. Many clients ask for the same page all the while.
 */
final class CasePopularRequest extends CaseMain {

    private static final String SERVICE = "huvo11a";
    private static final String POPULAR = "the same page";
    private static final int DEADLINE_MILLIS = 1_000;
    private static final int INTERVAL_MILLIS = 25;
    private static final long WORK_MILLIS = 60;
    private static final long LENGTH_MILLIS = 58_000;
    private static final long FIRST_CRASH_MILLIS = 2_000;
    private static final int CRASHES = 2;

    /** Within the length that the site files give to crashes of backends, 4.5 s. */
    private static final long DOWN_MILLIS = 2_500;

    private static final long UP_MILLIS = 500;

    public static void main(String[] arguments) {
        new CasePopularRequest().run(arguments[0]);
    }

    @Override
    int play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, SERVICE, SERVICE, SERVICE)) {
            deployment.configure(7, List.of(SERVICE), "1500ms");
            if (!deployment.startNodes()) {
                return COULD_NOT_RUN;
            }
            Backend[] backends = new Backend[3];
            for (int i = 0; i < 3; i++) {
                backends[i] = deployment.startBackend(backend("i-7f3a91c" + i, deployment, i));
            }
            if (!deployment.awaitServed(deployment.nodes, SERVICE, 20_000)) {
                return COULD_NOT_RUN;
            }
            Thread.sleep(1_000);
            long start = Record.now();
            Kinds kinds = new Kinds(record, deployment, DEADLINE_MILLIS);
            String page = Deployment.SAFE_PATH + SERVICE + "/today";
            kinds.send(POPULAR, "GET", () -> page, INTERVAL_MILLIS);
            String bookings = Deployment.UNSAFE_PATH + SERVICE + "/";
            kinds.send("bookings", "POST", () -> bookings + Client.newId(), INTERVAL_MILLIS);
            sleepUntil(start + FIRST_CRASH_MILLIS);
            for (int i = 0; i < CRASHES && trouble; i++) {
                backends[i].stop();
                Thread.sleep(DOWN_MILLIS);
                backends[i] = deployment.startBackend(backend("i-02d9e6b" + i, deployment, i));
                Thread.sleep(UP_MILLIS);
            }
            sleepUntil(start + LENGTH_MILLIS);
            kinds.stop();
            return kinds.isStarved(POPULAR) ? BROKEN : HELD;
        }
    }

    /** Returns a backend whose reported speed changes, so that its load is always known. */
    private static Backend backend(String id, Deployment deployment, int machine) {
        Backend backend =
                new Backend(id, deployment.nodes.get(machine), 18, deployment.record) {
                    @Override
                    void onRun(HttpMessage request, String requestId) {
                        // The counts of answers are written every few seconds instead.
                    }

                    @Override
                    String speed() {
                        return Record.now() % 500 < 60 ? ",160" : ",100";
                    }
                };
        backend.workMillis = WORK_MILLIS;
        return backend;
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - Record.now()));
    }
}
