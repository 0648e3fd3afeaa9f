package review;

import java.nio.file.Path;

/** Runs one scenario in the current folder's repository and reports whether a rule held. */
abstract class Scenario {

    private static final int HELD = 0;
    private static final int BROKEN = 1;
    private static final int NOT_RUN = 2;
    private static final long LIMIT_MILLIS = 110_000;

    /**
     * Plays the scenario.
     *
     * @param trouble whether to cause the disruption
     * @return whether the rule held
     */
    abstract boolean play(Deployment deployment, Record record, boolean trouble) throws Exception;

    /** Runs the scenario named by the first argument; the second one is its folder. */
    public static void main(String[] arguments) {
        Thread watchdog = new Thread(() -> haltAfterLimit());
        watchdog.setDaemon(true);
        watchdog.start();
        System.exit(run(arguments));
    }

    private static int run(String[] arguments) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        Path file = Path.of(arguments[1], "record.txt");
        try (Record record = new Record(file);
                Deployment deployment = new Deployment(record)) {
            Runtime.getRuntime().addShutdownHook(new Thread(() -> closeQuietly(deployment)));
            record.write("trouble: %s", trouble);
            Scenario scenario =
                    (Scenario)
                            Class.forName("review." + arguments[0])
                                    .getDeclaredConstructor()
                                    .newInstance();
            boolean held = scenario.play(deployment, record, trouble);
            record.write("result: the rule %s", held ? "held" : "was broken");
            System.out.println("The rule " + (held ? "held." : "was broken."));
            return held ? HELD : BROKEN;
        } catch (Exception e) {
            e.printStackTrace();
            return NOT_RUN;
        }
    }

    private static void haltAfterLimit() {
        Deployment.sleep(LIMIT_MILLIS);
        System.err.println("The scenario took too long.");
        System.exit(NOT_RUN);
    }

    private static void closeQuietly(Deployment deployment) {
        try {
            deployment.close();
        } catch (Exception e) {
            System.err.println("Cleaning up failed: " + e);
        }
    }
}
