import java.util.List;

/**
 * A backend leaves with DELETE and gets its acknowledgement; the node beside it is killed and
 * starts again, and two heartbeats from before the DELETE arrive seconds late.
 */
final class CaseLateHeartbeats extends CaseMain {

    private static final String SERVICE = "huvo11a";
    private static final long SERVES_ON_MILLIS = 13_000;

    public static void main(String[] arguments) {
        new CaseLateHeartbeats().run(arguments[0]);
    }

    @Override
    int play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, SERVICE, SERVICE, SERVICE)) {
            DrainWatch watch = new DrainWatch(record, deployment, SERVICE);
            deployment.configure(7, List.of(SERVICE), "1500ms");
            if (!deployment.startNodes()) {
                return COULD_NOT_RUN;
            }
            Node node = deployment.nodes.get(0);
            Backend leaving = deployment.startBackend(watch.backend("i-7f3a91c2", node));
            for (int i = 1; i < 3; i++) {
                deployment.startBackend(watch.backend("i-02d9e6b" + i, deployment.nodes.get(i)));
            }
            if (!deployment.awaitServed(deployment.nodes, SERVICE, 20_000)) {
                return COULD_NOT_RUN;
            }
            Thread.sleep(DrainWatch.STABLE_WINDOW_MILLIS);

            // Two heartbeats, 1.5 s apart as usual, are under way longer than the DELETE.
            leaving.stopBeats();
            Thread.sleep(1_500);
            String[] late = new String[2];
            long[] sent = new long[2];
            for (int i = 0; i < 2; i++) {
                late[i] = leaving.beatBody("ready", leaving.sequence.incrementAndGet());
                sent[i] = Record.now();
                record.write("heartbeat %d of %s is sent", i + 1, leaving.id);
                Thread.sleep(i == 0 ? 1_500 : 300);
            }
            if (leaving.delete() != 200) {
                return COULD_NOT_RUN;
            }
            long acknowledged = Record.now();
            Thread.sleep(300);
            long started = acknowledged;
            if (trouble) {
                node.kill();
                Thread.sleep(500);
                node.start();
                started = Record.now();
                if (!node.awaitReady(10_000)) {
                    return COULD_NOT_RUN;
                }
            } else {
                Thread.sleep(900);
            }
            watch.startClients();
            Thread.sleep(1_000);
            for (int i = 0; i < 2; i++) {
                record.write("heartbeat %d arrives %d ms late", i + 1, Record.now() - sent[i]);
                leaving.send(late[i], "late");
                Thread.sleep(i == 0 ? 700 : 0);
            }
            // From then on, all machines are in touch again.
            long inTouch = started + DrainWatch.STABLE_WINDOW_MILLIS + 500;
            watch.countFrom(Math.max(inTouch, acknowledged + DrainWatch.DRAIN_MILLIS));
            Thread.sleep(acknowledged + SERVES_ON_MILLIS - Record.now());
            leaving.stop();
            Thread.sleep(2_000);
            watch.stopClients();
            watch.writeUnsafeStatuses();
            return watch.lateRuns() > 0 ? BROKEN : HELD;
        }
    }
}
