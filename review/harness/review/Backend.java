package review;

import java.io.IOException;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/** An application backend that sends heartbeats to the node of its machine and runs requests. */
class Backend extends Server {

    private static final int HEARTBEAT_MILLIS = 1_500;
    private static final int SLOTS = 18;

    private final String id;
    private final String service;
    private final Machine machine;
    private final Record record;
    private final long born = System.currentTimeMillis();
    private final AtomicLong sequence = new AtomicLong();
    private final AtomicInteger running = new AtomicInteger();
    private volatile boolean sendsHeartbeats = true;

    /** Starts the backend; {@link #register} starts its heartbeats. */
    Backend(String id, String service, Machine machine, Record record) throws IOException {
        super(Deployment.HOST, machine.backendPort());
        this.id = id;
        this.service = service;
        this.machine = machine;
        this.record = record;
        record.write("backend %s of service %s starts beside %s", id, service, machine.name());
    }

    String id() {
        return id;
    }

    String service() {
        return service;
    }

    Record record() {
        return record;
    }

    /** Sends a heartbeat now and then one each interval. */
    Backend register() {
        Thread thread =
                new Thread(
                        () -> {
                            while (sendsHeartbeats) {
                                heartbeat("ready");
                                Deployment.sleep(HEARTBEAT_MILLIS);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return this;
    }

    void stopHeartbeats() {
        sendsHeartbeats = false;
    }

    /** Returns a heartbeat with the next sequence number. */
    Message nextHeartbeat(String state) {
        return Message.of("PUT /dogwoodwood/instances/" + id + " HTTP/1.1")
                .with("Host", "control")
                .with("Content-Type", "application/json")
                .withBody(
                        """
                        {"service":"%s","address":"%s:%d","zone":"%s","version":"v1","slots":%d,\
                        "state":"%s","coldLeft":"0ms","seq":%d,"born":%d}"""
                                .formatted(
                                        service,
                                        Deployment.HOST,
                                        port(),
                                        machine.zone(),
                                        SLOTS,
                                        state,
                                        sequence.incrementAndGet(),
                                        born));
    }

    private void heartbeat(String state) {
        deliver(nextHeartbeat(state));
    }

    /** Delivers a heartbeat; returns the status of the answer, or 0. */
    int deliver(Message heartbeat) {
        return machine.control(heartbeat);
    }

    /** Tells the node that the backend leaves; returns the status of the answer, or 0. */
    int leave() {
        sendsHeartbeats = false;
        int status =
                machine.control(
                        Message.of("DELETE /dogwoodwood/instances/" + id + " HTTP/1.1")
                                .with("Host", "control")
                                .with("Content-Type", "application/json")
                                .withBody("{\"born\":" + born + "}"));
        record.write("backend %s: DELETE, answered %d", id, status);
        return status;
    }

    /** Ends the backend without telling anybody. */
    void crash() {
        sendsHeartbeats = false;
        close();
        record.write("backend %s ends without a word", id);
    }

    @Override
    void onRequest(Message request, Connection connection)
            throws IOException, InterruptedException {
        if (request.path().equals("/health")) {
            connection.send(
                    Message.of("HTTP/1.1 200 OK")
                            .with("X-Dogwoodwood-Instance-Id", id)
                            .with("X-Dogwoodwood-Server-Load", load())
                            .with("X-Dogwoodwood-Cold-Ms", 0));
            return;
        }
        String expected = request.field("X-Dogwoodwood-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            record.write("backend %s rejects %s with 421", id, requestId(request));
            connection.send(
                    answer(request, "421 Misdirected Request")
                            .with("X-Dogwoodwood-Instance-Id", id)
                            .with("X-Dogwoodwood-Not-Executed", 1));
            return;
        }
        execute(request, connection);
    }

    /** Runs a request and answers it. */
    void execute(Message request, Connection connection) throws IOException, InterruptedException {
        record.write(
                "backend %s (%s) runs %s %s %s",
                id, service, requestId(request), request.method(), request.target());
        running.incrementAndGet();
        try {
            onRun(request);
        } finally {
            running.decrementAndGet();
        }
        connection.send(success(request));
    }

    /** Does the work of a request. */
    void onRun(Message request) throws InterruptedException {
        Thread.sleep(20);
    }

    Message success(Message request) {
        return answer(request, "200 OK")
                .with("X-Dogwoodwood-Response-Stamp", id + "." + requestId(request))
                .withBody("done by " + id);
    }

    Message answer(Message request, String status) {
        return Message.of("HTTP/1.1 " + status)
                .with("X-Dogwoodwood-Request-Id", requestId(request))
                .with("X-Dogwoodwood-Server-Load", load());
    }

    String load() {
        return running.get() + ",0," + SLOTS + ",100";
    }

    static String requestId(Message request) {
        return request.field("X-Dogwoodwood-Request-Id");
    }
}
