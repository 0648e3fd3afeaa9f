package review;

import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A backend leaves with DELETE, its node acknowledges that and is then killed and started again; a
 * heartbeat that the backend sent before its DELETE arrives late.
 */
final class LateHeartbeat extends Scenario {

    private static final int DRAIN_MILLIS = 2_000;
    private static final int STABLE_WINDOW_MILLIS = 3_000;
    private static final int LATE_MILLIS = 3_500;
    private static final int WATCH_MILLIS = 9_000;

    private final AtomicLong countFromMillis = new AtomicLong(Long.MAX_VALUE);
    private final AtomicInteger afterDrain = new AtomicInteger();

    @Override
    boolean play(Deployment deployment, Record record, boolean trouble) throws Exception {
        deployment
                .store()
                .put("config", new Configuration(1).route("charge", "unsafe", "payments").toJson());
        Machine first = deployment.addMachine("sidecar-a-1", "zone-a", "payments");
        Machine second = deployment.addMachine("sidecar-b-1", "zone-b", "payments");
        Machine third = deployment.addMachine("sidecar-a-2", "zone-a", "catalogue");
        deployment.startNodes();
        Backend leaving =
                deployment.add(
                        new Backend("i-pay-1", "payments", first, record) {
                            @Override
                            void onRun(Message request) throws InterruptedException {
                                if (record.millis() > countFromMillis.get()) {
                                    afterDrain.incrementAndGet();
                                }
                                super.onRun(request);
                            }
                        });
        leaving.register();
        deployment.add(new Backend("i-pay-2", "payments", second, record)).register();
        deployment.add(new Backend("i-cat-1", "catalogue", third, record)).register();
        deployment.awaitReady();
        Client client = new Client(third, record);
        deployment.await("Payments are served", () -> client.send(charge()) == 200);
        Deployment.sleep(4_000);

        leaving.stopHeartbeats();
        Message delayed = leaving.nextHeartbeat("ready");
        long sentMillis = record.millis();
        record.write("backend %s sends a heartbeat, which is delayed", leaving.id());
        int status = leaving.leave();
        long acknowledgedMillis = record.millis();
        if (status != 200) {
            throw new IllegalStateException("The DELETE was not acknowledged.");
        }
        long startedMillis = acknowledgedMillis;
        if (trouble) {
            first.kill();
            first.start();
            startedMillis = record.millis();
        }
        // All machines are in touch again, and the drain time has passed.
        countFromMillis.set(
                Math.max(
                                acknowledgedMillis + DRAIN_MILLIS,
                                startedMillis + STABLE_WINDOW_MILLIS)
                        + 500);
        long deliverMillis = sentMillis + LATE_MILLIS;
        while (record.millis() < acknowledgedMillis + WATCH_MILLIS) {
            if (deliverMillis > 0 && record.millis() >= deliverMillis) {
                record.write(
                        "the delayed heartbeat of %s arrives, %d ms late, answered %d",
                        leaving.id(), record.millis() - sentMillis, leaving.deliver(delayed));
                deliverMillis = 0;
            }
            client.send(charge());
            Deployment.sleep(30);
        }
        record.write(
                "requests that reached the backend that had left, after the drain time: %d",
                afterDrain.get());
        return afterDrain.get() == 0;
    }

    private static Message charge() {
        return Client.request("POST", "charge.example", "/charge/1", 1_500).withBody("amount=5");
    }
}
