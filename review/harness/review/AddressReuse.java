package review;

import java.util.concurrent.atomic.AtomicInteger;

/** A backend crashes, and after a while its address goes to a backend of another service. */
final class AddressReuse extends Scenario {

    private static final int REUSE_AFTER_MILLIS = 2_500;

    @Override
    boolean play(Deployment deployment, Record record, boolean trouble) throws Exception {
        deployment
                .store()
                .put(
                        "config",
                        new Configuration(1)
                                .route("charge", "unsafe", "payments")
                                .route("browse", "safe", "catalogue")
                                .toJson());
        Machine first = deployment.addMachine("sidecar-a-1", "zone-a", "payments");
        Machine second = deployment.addMachine("sidecar-b-1", "zone-b", "payments");
        Machine third = deployment.addMachine("sidecar-a-2", "zone-a", "catalogue");
        deployment.startNodes();
        AtomicInteger misplaced = new AtomicInteger();
        Backend firstBackend =
                deployment.add(new Backend("i-pay-1", "payments", first, record)).register();
        deployment.add(new Backend("i-pay-2", "payments", second, record)).register();
        deployment.add(new Backend("i-cat-1", "catalogue", third, record)).register();
        deployment.awaitReady();
        Client client = new Client(third, record);
        deployment.await("Payments are served", () -> client.send(charge()) == 200);
        Deployment.sleep(3_000);
        if (trouble) {
            firstBackend.crash();
            Deployment.sleep(REUSE_AFTER_MILLIS);
            deployment
                    .add(
                            new Backend("i-cat-2", "catalogue", first, record) {
                                @Override
                                void onRun(Message request) throws InterruptedException {
                                    if (request.path().startsWith("/charge/")) {
                                        misplaced.incrementAndGet();
                                    }
                                    super.onRun(request);
                                }
                            })
                    .register();
        }
        for (int i = 0; i < 200; i++) {
            client.send(charge());
            Deployment.sleep(50);
        }
        record.write("requests for payments run by a backend of catalogue: %d", misplaced.get());
        return misplaced.get() == 0;
    }

    private static Message charge() {
        return Client.request("POST", "charge.example", "/charge/1", 1_500).withBody("amount=5");
    }
}
