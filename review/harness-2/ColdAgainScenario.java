import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/**
 * A backend becomes cold again while it serves, and tells so in its health answers at once and in
 * its next heartbeat. The load is steady, and two thirds of the backends are warm.
 */
final class ColdAgainScenario extends CaseMain {

    private static final String SERVICE = "huvo11a";
    private static final int DEADLINE_MILLIS = 1_000;
    private static final int INTERVAL_MILLIS = 10;
    private static final long WORK_MILLIS = 60;
    private static final long COLD_START_MILLIS = 3_000;
    private static final long FIRST_COLD_MILLIS = 3_000;
    private static final long COLD_INTERVAL_MILLIS = 10_000;
    private static final int TIMES = 3;

    /** coldPerS x coldOverage + coldSlack of the configuration and the settings. */
    private static final int MOST_IN_A_SECOND = (int) (36 * 1.5 + 5);

    public static void main(String[] arguments) {
        new ColdAgainScenario().run(arguments[0]);
    }

    @Override
    int play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, SERVICE, SERVICE, SERVICE)) {
            deployment.configure(7, List.of(SERVICE), "1500ms");
            if (!deployment.startNodes()) {
                return COULD_NOT_RUN;
            }
            ColdBackend[] backends = new ColdBackend[3];
            for (int i = 0; i < 3; i++) {
                backends[i] = new ColdBackend("i-7f3a91c" + i, deployment.nodes.get(i), record);
                deployment.startBackend(backends[i]);
            }
            if (!deployment.awaitServed(deployment.nodes, SERVICE, 20_000)) {
                return COULD_NOT_RUN;
            }
            Thread.sleep(1_000);
            long start = Record.now();
            Kinds kinds = new Kinds(record, deployment, DEADLINE_MILLIS);
            String prefix = Deployment.SAFE_PATH + SERVICE + "/";
            kinds.send("lookups", "GET", () -> prefix + Client.newId(), INTERVAL_MILLIS);
            int most = 0;
            for (int i = 0; i < TIMES; i++) {
                sleepUntil(start + FIRST_COLD_MILLIS + i * COLD_INTERVAL_MILLIS);
                ColdBackend backend = backends[i];
                if (trouble) {
                    backend.setCold(COLD_START_MILLIS);
                }
                backend.count(true);
                record.write("%s is %s", backend.id, trouble ? "cold for 3 s" : "still warm");
                Thread.sleep(COLD_START_MILLIS);
                backend.count(false);
                record.write(
                        "%s got %d requests in the busiest second of these 3 s (at most %d if cold)",
                        backend.id, backend.mostInASecond, MOST_IN_A_SECOND);
                most = Math.max(most, backend.mostInASecond);
            }
            kinds.stop();
            return trouble && most > MOST_IN_A_SECOND ? BROKEN : HELD;
        }
    }

    private static void sleepUntil(long millis) throws InterruptedException {
        Thread.sleep(Math.max(0, millis - Record.now()));
    }

    /** Counts the requests that arrive in any second of a time. */
    private static final class ColdBackend extends Backend {

        private final Deque<Long> lastSecond = new ArrayDeque<>();
        private boolean counting;
        private int mostInASecond;

        ColdBackend(String id, Node machine, Record record) {
            super(id, machine, 18, record);
            workMillis = WORK_MILLIS;
        }

        synchronized void count(boolean value) {
            counting = value;
            lastSecond.clear();
        }

        @Override
        synchronized void onRun(HttpMessage request, String requestId) {
            if (!counting) {
                return;
            }
            long now = Record.now();
            lastSecond.addLast(now);
            while (now - lastSecond.getFirst() >= 1_000) {
                lastSecond.removeFirst();
            }
            mostInASecond = Math.max(mostInASecond, lastSecond.size());
        }
    }
}
