package review;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients upload bodies within the operator's limit while others use kept connections. */
final class LargeBodies extends Scenario {

    private static final int SMALL_CLIENTS = 12;
    private static final int UPLOADERS = 32;
    private static final int UPLOAD_BYTES = 4 << 20;
    private static final int SMALL_UPLOAD_BYTES = 4 << 10;
    private static final int WORK_MILLIS = 2_000;
    private static final int MAX_LOST = 3;

    private final Set<String> executed = ConcurrentHashMap.newKeySet();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicBoolean finished = new AtomicBoolean();

    @Override
    boolean play(Deployment deployment, Record record, boolean trouble) throws Exception {
        deployment
                .store()
                .put(
                        "config",
                        new Configuration(1)
                                .route("charge", "unsafe", "payments")
                                .route("photo", "unsafe", "catalogue")
                                .toJson());
        Machine front = deployment.addMachine("sidecar-a-1", "zone-a", "catalogue");
        Machine back = deployment.addMachine("sidecar-b-1", "zone-b", "payments");
        deployment.startNodes();
        deployment.add(new WorkingBackend("i-cat-1", "catalogue", front, record)).register();
        deployment.add(new WorkingBackend("i-pay-1", "payments", back, record)).register();
        deployment.awaitReady();
        try (Client client = new Client(front, record)) {
            deployment.await("Payments are served", () -> client.send(charge()) == 200);
            deployment.await("Photos are served", () -> client.send(photo(new byte[1])) == 200);
        }
        Deployment.sleep(4_000);
        List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < SMALL_CLIENTS; i++) {
            threads.add(start(() -> charge(front, record)));
        }
        Deployment.sleep(2_500);
        int bytes = trouble ? UPLOAD_BYTES : SMALL_UPLOAD_BYTES;
        byte[] body = new byte[bytes];
        record.write("%d clients upload %d bytes each", UPLOADERS, bytes);
        for (int i = 0; i < UPLOADERS; i++) {
            threads.add(start(() -> upload(front, record, body)));
        }
        for (int i = 0; i < 75 && front.isAlive(); i++) {
            Deployment.sleep(200);
        }
        if (!front.isAlive()) {
            record.write("the process of node %s has ended by itself with status %d",
                    front.name(), front.exitStatus());
        }
        finished.set(true);
        for (Thread thread : threads) {
            thread.join(5_000);
        }
        record.write(
                "requests from kept connections that a backend ran and that got no answer: %d",
                lost.get());
        return lost.get() <= MAX_LOST;
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    private void charge(Machine machine, Record record) {
        int answered = 0;
        try (Client client = new Client(machine, record)) {
            while (!finished.get()) {
                Message request = charge();
                int status = client.send(request);
                if (status == Client.NO_ANSWER) {
                    if (answered > 0 && executed.contains(Backend.requestId(request))) {
                        lost.incrementAndGet();
                    }
                    return;
                }
                answered++;
            }
        }
    }

    private void upload(Machine machine, Record record, byte[] body) {
        try (Client client = new Client(machine, record)) {
            client.send(photo(body));
        }
    }

    private static Message charge() {
        return Client.request("POST", "charge.example", "/charge/1", 3_000).withBody("amount=5");
    }

    private static Message photo(byte[] body) {
        return Client.request("POST", "photo.example", "/photo/1", 3_000).withBody(body);
    }

    /** Works for a fixed time on each request. */
    private final class WorkingBackend extends Backend {

        WorkingBackend(String id, String service, Machine machine, Record record)
                throws java.io.IOException {
            super(id, service, machine, record);
        }

        @Override
        void onRun(Message request) throws InterruptedException {
            executed.add(requestId(request));
            Thread.sleep(WORK_MILLIS);
        }
    }
}
