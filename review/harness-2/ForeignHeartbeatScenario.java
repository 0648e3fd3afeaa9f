import java.util.List;

/**
 * A heartbeat of another writer, with another id and without a zone, comes to the node beside the
 * only backend of a service, which goes on sending its own.
 */
final class ForeignHeartbeatScenario extends CaseMain {

    private static final String SERVICE = "huvo11a";
    private static final String OTHER = "kafi81c";
    private static final int DEADLINE_MILLIS = 1_000;
    private static final int INTERVAL_MILLIS = 50;
    private static final long CALM_MILLIS = 4_000;
    private static final long LENGTH_MILLIS = 44_000;

    public static void main(String[] arguments) {
        new ForeignHeartbeatScenario().run(arguments[0]);
    }

    @Override
    int play(Record record, boolean trouble) throws Exception {
        try (Deployment deployment = new Deployment(record, SERVICE, OTHER, OTHER)) {
            deployment.configure(7, List.of(SERVICE, OTHER), "1500ms");
            if (!deployment.startNodes()) {
                return COULD_NOT_RUN;
            }
            for (int i = 0; i < 3; i++) {
                deployment.startBackend(quiet("i-7f3a91c" + i, deployment, i));
            }
            if (!deployment.awaitServed(deployment.nodes, SERVICE, 20_000)) {
                return COULD_NOT_RUN;
            }
            Kinds kinds = new Kinds(record, deployment, DEADLINE_MILLIS);
            for (String service : List.of(SERVICE, OTHER)) {
                String prefix = Deployment.SAFE_PATH + service + "/";
                kinds.send(service, "GET", () -> prefix + Client.newId(), INTERVAL_MILLIS);
            }
            Thread.sleep(CALM_MILLIS);
            if (trouble) {
                Node machine = deployment.nodes.get(0);
                String whole = deployment.backends.get(0).beatBody("ready", 3);
                int status =
                        Client.call(
                                machine.control(), "PUT", "/dogwoodwood/instances/i-02d9e6b4",
                                whole.replace("\"zone\":\"" + machine.zone + "\",", ""), 1_000);
                record.write("heartbeat of another writer without zone: answered %d", status);
            }
            Thread.sleep(LENGTH_MILLIS - CALM_MILLIS);
            kinds.stop();
            return kinds.isStarved(SERVICE) ? BROKEN : HELD;
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
}
