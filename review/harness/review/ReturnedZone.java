package review;

import java.util.List;

/**
 * The operator empties zone after zone: the first one is taken back before the second one is
 * emptied. Then all processes are killed and start again.
 */
final class ReturnedZone extends Scenario {

    private static final int EVACUATION_MILLIS = 30_000;
    private static final int RECOVER_MILLIS = 15_000;
    private static final int COUNT_MILLIS = 10_000;

    @Override
    boolean play(Deployment deployment, Record record, boolean trouble) throws Exception {
        Store store = deployment.store();
        store.put("config", new Configuration(1).route("charge", "unsafe", "payments").toJson());
        List<Machine> machines =
                List.of(
                        deployment.addMachine("sidecar-a-1", "zone-a", "payments"),
                        deployment.addMachine("sidecar-a-2", "zone-a", "payments"),
                        deployment.addMachine("sidecar-b-1", "zone-b", "payments"),
                        deployment.addMachine("sidecar-b-2", "zone-b", "payments"));
        deployment.startNodes();
        for (Machine machine : machines) {
            String id = "i-" + machine.name();
            deployment.add(new Backend(id, "payments", machine, record)).register();
        }
        deployment.awaitReady();
        Client client = new Client(machines.get(0), record);
        deployment.await("Payments are served", () -> client.send(charge()) == 200);
        Deployment.sleep(2_000);

        store.put("evacuate/zone-a", "{}");
        Deployment.sleep(EVACUATION_MILLIS);
        store.put("evacuate/zone-a", "");
        Deployment.sleep(3_000);
        store.put("evacuate/zone-b", "{}");
        Deployment.sleep(3_000);
        double before = servedShare(client, record, 2_000);
        record.write("share served before the fault: %.2f", before);
        if (trouble) {
            machines.forEach(Machine::kill);
            deployment.startNodes();
        }
        deployment.awaitReady();
        Deployment.sleep(RECOVER_MILLIS);
        double after = servedShare(client, record, COUNT_MILLIS);
        record.write("share served %d s after all nodes were ready again: %.2f",
                RECOVER_MILLIS / 1_000, after);
        return before < 0.25 || after >= 0.25;
    }

    /** Returns the share of requests that are answered with success. */
    private static double servedShare(Client client, Record record, long millis) {
        int sent = 0;
        int served = 0;
        long endMillis = record.millis() + millis;
        while (record.millis() < endMillis) {
            sent++;
            served += client.send(charge()) == 200 ? 1 : 0;
            Deployment.sleep(50);
        }
        return served / (double) sent;
    }

    private static Message charge() {
        return Client.request("POST", "charge.example", "/charge/1", 1_500).withBody("amount=5");
    }
}
