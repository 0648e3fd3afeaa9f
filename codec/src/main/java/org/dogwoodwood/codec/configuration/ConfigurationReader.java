package org.dogwoodwood.codec.configuration;

import static org.dogwoodwood.core.ErrorCode.CONFIGURATION_SYNTAX;
import static org.dogwoodwood.core.ErrorCode.MISSING_KEY;
import static org.dogwoodwood.core.ErrorCode.USAGE;

import java.io.IOException;
import java.nio.charset.CharacterCodingException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.configuration.CheckResult;
import org.dogwoodwood.core.configuration.ConfigurationChecker;
import org.dogwoodwood.core.configuration.ConfigurationProblem;
import org.dogwoodwood.core.configuration.NameSuggestions;
import org.dogwoodwood.core.configuration.ProblemLocation;

/** Reads a configuration from the TOML files of a directory and validates it as a whole. */
public final class ConfigurationReader {

    /** The settings of the command-line tool, which may be stored in the same directory. */
    private static final String TOOL_SETTINGS = "dogwoodwood.toml";

    private static final String SUFFIX = ".toml";

    private final NameSuggestions suggestions = EditDistanceSuggestions.create();
    private final ConfigurationChecker checker = ConfigurationChecker.create(suggestions);

    private ConfigurationReader() {}

    public static ConfigurationReader create() {
        return new ConfigurationReader();
    }

    /**
     * Reads and validates all files in a directory whose names end in {@code .toml}.
     *
     * @param directory the directory, not null; subdirectories are not read
     * @return the configuration, if it is valid, and all problems found
     * @throws DogwoodwoodException if the directory cannot be read or contains no such file
     */
    public CheckResult read(Path directory) {
        DraftBuilder builder = new DraftBuilder(suggestions);
        for (Path file : files(directory)) {
            readFile(file, builder);
        }
        if (builder.hasNoService() && builder.problems().isEmpty()) {
            builder.report(
                    new ConfigurationProblem(
                            MISSING_KEY,
                            ProblemLocation.ofLine("", 0),
                            directory + " defines no service.",
                            "Define at least one [service.NAME]."));
        }
        return checker.check(builder.draft(), builder.problems());
    }

    private static List<Path> files(Path directory) {
        if (!Files.isDirectory(directory)) {
            throw new DogwoodwoodException(USAGE, directory + " is not a directory.");
        }
        try (Stream<Path> entries = Files.list(directory)) {
            List<Path> files =
                    entries.filter(ConfigurationReader::isConfiguration).sorted().toList();
            if (files.isEmpty()) {
                throw new DogwoodwoodException(USAGE, directory + " contains no *.toml file.");
            }
            return files;
        } catch (IOException e) {
            throw new DogwoodwoodException(USAGE, directory + " cannot be read.", e);
        }
    }

    private static boolean isConfiguration(Path path) {
        String name = path.getFileName().toString();
        return name.endsWith(SUFFIX) && !name.equals(TOOL_SETTINGS) && !Files.isDirectory(path);
    }

    private static void readFile(Path path, DraftBuilder builder) {
        String name = path.getFileName().toString();
        try {
            new ConfigurationFileParser(name, Files.readString(path), builder).parse();
        } catch (CharacterCodingException e) {
            builder.report(unreadable(name, "The file is not UTF-8.", "Save the file as UTF-8."));
        } catch (IOException e) {
            builder.report(
                    unreadable(
                            name,
                            "The file cannot be read.",
                            "Check that it exists and that you may read it."));
        }
    }

    private static ConfigurationProblem unreadable(String name, String message, String remedy) {
        return new ConfigurationProblem(
                CONFIGURATION_SYNTAX, ProblemLocation.ofLine(name, 0), message, remedy);
    }
}
