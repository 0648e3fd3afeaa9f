package review;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * The open connections to the store go silent while new ones work; then configurations with many
 * routes come in quick succession, and the last of them moves a route to another service.
 */
final class LostConfiguration extends Scenario {

    private static final int CONFIG_MILLIS = 2_000;
    private static final int STABLE_WINDOW_MILLIS = 3_000;
    private static final int WATCH_MILLIS = 45_000;
    // All reads that went silent have timed out by then.
    private static final int ALL_READ_AGAIN_MILLIS = 30_000;
    private static final int CHANGES = 14;
    private static final int GAP_MILLIS = 270;
    private static final int ROUTES = 410;

    private final AtomicLong countFromMillis = new AtomicLong(Long.MAX_VALUE);
    private final AtomicLong allReadAgainMillis = new AtomicLong(Long.MAX_VALUE);
    private final AtomicInteger outdated = new AtomicInteger();
    private final AtomicInteger outdatedForGood = new AtomicInteger();

    @Override
    boolean play(Deployment deployment, Record record, boolean trouble) throws Exception {
        Store store = deployment.store();
        store.put("config", configuration(1, "outings").toJson());
        Machine first = deployment.addMachine("sidecar-a-1", "zone-a", "outings");
        Machine second = deployment.addMachine("sidecar-b-1", "zone-b", "payments");
        Machine third = deployment.addMachine("sidecar-a-2", "zone-a", "catalogue");
        deployment.startNodes();
        Backend before = new OldBackend("i-out-1", "outings", first, record);
        deployment.add(before).register();
        deployment.add(new Backend("i-pay-1", "payments", second, record)).register();
        deployment.add(new Backend("i-cat-1", "catalogue", third, record)).register();
        deployment.awaitReady();
        Client client = new Client(third, record);
        deployment.await("Bookings are served", () -> client.send(booking()) == 200);
        Deployment.sleep(5_000);

        store.put("config", configuration(2, "outings").route("offers", "safe", "catalogue").toJson());
        Deployment.sleep(1_000);
        if (trouble) {
            record.write("%d open connections to the store go silent", store.connectionCount());
            store.silenceOpenConnections();
        }
        long silentMillis = record.millis();
        int version = 2;
        for (int i = 1; i < CHANGES; i++) {
            version += 2;
            Configuration next = configuration(version, "outings").manyRoutes(ROUTES, "catalogue");
            store.put("config", next.toJson());
            Deployment.sleep(GAP_MILLIS);
        }
        Configuration last = configuration(version + 1, "payments").manyRoutes(ROUTES, "catalogue");
        record.write("the last configuration has %d bytes", last.toJson().length());
        store.put("config", last.toJson());
        long acknowledgedMillis = record.millis();
        // A request counts if it is sent later than both bounds; it takes a few milliseconds.
        countFromMillis.set(
                Math.max(
                                acknowledgedMillis + CONFIG_MILLIS,
                                silentMillis + STABLE_WINDOW_MILLIS)
                        + 300);
        allReadAgainMillis.set(acknowledgedMillis + ALL_READ_AGAIN_MILLIS);
        while (record.millis() < acknowledgedMillis + WATCH_MILLIS) {
            client.send(booking());
            Deployment.sleep(100);
        }
        record.write(
                "requests run by the service from which the route had been moved: %d, of these %d"
                        + " later than %d s after the acknowledgement",
                outdated.get(),
                outdatedForGood.get(),
                ALL_READ_AGAIN_MILLIS / 1_000);
        return outdated.get() == 0;
    }

    private static Configuration configuration(int version, String bookings) {
        return new Configuration(version)
                .service("outings")
                .service("payments")
                .route("booking", "unsafe", bookings);
    }

    private static Message booking() {
        return Client.request("POST", "booking.example", "/booking/1", 1_500).withBody("seats=2");
    }

    /** Counts the requests that it runs after the route was moved. */
    private final class OldBackend extends Backend {

        OldBackend(String id, String service, Machine machine, Record record)
                throws java.io.IOException {
            super(id, service, machine, record);
        }

        @Override
        void onRun(Message request) throws InterruptedException {
            if (record().millis() > countFromMillis.get()) {
                outdated.incrementAndGet();
            }
            if (record().millis() > allReadAgainMillis.get()) {
                outdatedForGood.incrementAndGet();
            }
            super.onRun(request);
        }
    }
}
