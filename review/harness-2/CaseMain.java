import java.nio.file.Path;

/**
 * Runs a case and ends with its status, which run.sh turns into its own: a virtual machine that
 * fails ends with 1, so another number says that the rule was broken.
 */
abstract class CaseMain {

    static final int HELD = 0;
    static final int BROKEN = 10;
    static final int COULD_NOT_RUN = 2;

    /** Plays the case; {@code trouble} tells whether with the disruption. */
    abstract int play(Record record, boolean trouble) throws Exception;

    final void run(String folder) {
        Record record = new Record(Path.of(folder, "record.txt"));
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int status;
        try {
            status = play(record, trouble);
        } catch (Throwable e) {
            record.write("The case could not run: %s", e);
            status = COULD_NOT_RUN;
        }
        record.write(
                "%s",
                status == BROKEN
                        ? "the rule was broken"
                        : status == HELD ? "the rule held" : "the case could not run");
        System.exit(status);
    }
}
