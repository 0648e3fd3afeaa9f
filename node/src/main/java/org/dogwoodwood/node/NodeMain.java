package org.dogwoodwood.node;

import io.vertx.core.Vertx;
import java.io.PrintStream;
import java.nio.file.Path;
import joptsimple.OptionException;
import joptsimple.OptionParser;
import joptsimple.OptionSet;
import joptsimple.OptionSpec;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.node.control.DefaultControlPlane;
import org.dogwoodwood.node.logging.EventLog;
import org.dogwoodwood.node.settings.NodeSettings;
import org.dogwoodwood.node.settings.SettingsException;
import org.dogwoodwood.node.settings.SettingsProblem;
import org.dogwoodwood.node.settings.SettingsReader;

/** The main class of the daemon {@code dogwoodwood-node}. */
public final class NodeMain {

    static final int EXIT_OK = 0;
    static final int EXIT_FAILED = 1;
    static final int EXIT_USAGE = 2;
    static final int EXIT_SETTINGS = 3;

    private NodeMain() {}

    /** Runs the daemon until it receives SIGTERM. */
    public static void main(String[] arguments) {
        // The settings are read once, so the signal about new ones has no other use here.
        HangupSignal.ignore();
        int status = run(arguments, System.out, System.err);
        if (status != EXIT_OK) {
            System.exit(status);
        }
    }

    /**
     * Checks the settings and starts the node, unless the arguments contain {@code --check}.
     *
     * @return the exit status
     */
    static int run(String[] arguments, PrintStream out, PrintStream err) {
        OptionParser parser = new OptionParser();
        OptionSpec<String> file =
                parser.accepts("settings", "the settings file").withRequiredArg().required();
        OptionSpec<Void> check = parser.accepts("check", "check the settings and exit");
        OptionSet options;
        try {
            options = parser.parse(arguments);
        } catch (OptionException e) {
            err.println(ErrorCode.USAGE.number() + " " + e.getMessage());
            err.println("Usage: dogwoodwood-node --settings FILE [--check]");
            return EXIT_USAGE;
        }
        NodeSettings settings;
        try {
            settings = SettingsReader.read(Path.of(options.valueOf(file)));
        } catch (SettingsException e) {
            for (SettingsProblem problem : e.problems()) {
                err.println(e.code().number() + " " + problem);
            }
            return EXIT_SETTINGS;
        }
        if (options.has(check)) {
            out.println("The settings are valid.");
            return EXIT_OK;
        }
        return start(settings);
    }

    private static int start(NodeSettings settings) {
        EventLog log = EventLog.create();
        Vertx vertx = NodeProcess.createVertx();
        Node node =
                Node.create(
                        vertx,
                        settings,
                        System.currentTimeMillis(),
                        NodeComponents.of(DefaultControlPlane::from),
                        log);
        return NodeProcess.start(vertx, node, settings, log) ? EXIT_OK : EXIT_FAILED;
    }
}
