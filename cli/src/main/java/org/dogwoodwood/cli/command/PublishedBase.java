package org.dogwoodwood.cli.command;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Optional;
import org.dogwoodwood.cli.CommandException;

/**
 * The version that the files of a directory were last published as. It is stored in the directory,
 * so that a publication from an outdated copy is rejected instead of reverting the changes of
 * others.
 *
 * @param version the version
 * @param publicationId the id of the publication
 */
record PublishedBase(long version, String publicationId) {

    static final String FILE_NAME = ".dogwoodwood-base";

    private static final TomlMapper MAPPER = new TomlMapper();

    /** Reads the base of a directory; returns empty if the directory was never published. */
    static Optional<PublishedBase> read(Path directory) {
        Path file = directory.resolve(FILE_NAME);
        if (!Files.exists(file)) {
            return Optional.empty();
        }
        try {
            JsonNode json = MAPPER.readTree(Files.readString(file));
            if (json.path("version").isIntegralNumber()
                    && json.path("publication_id").isTextual()) {
                return Optional.of(
                        new PublishedBase(
                                json.get("version").longValue(),
                                json.get("publication_id").textValue()));
            }
        } catch (IOException e) {
            throw unreadable(file);
        }
        throw unreadable(file);
    }

    /**
     * Writes the base. Returns a note for the operator if this fails, rather than throwing, since
     * the publication has already taken effect.
     */
    Optional<String> write(Path directory) {
        String text =
                "# The version that these files were last published as; do not edit.\n"
                        + "version = "
                        + version
                        + "\npublication_id = '"
                        + publicationId
                        + "'\n";
        try {
            Files.writeString(directory.resolve(FILE_NAME), text);
            return Optional.empty();
        } catch (IOException e) {
            return Optional.of(
                    "Note: "
                            + directory.resolve(FILE_NAME)
                            + " cannot be written; give --base "
                            + version
                            + " with the next publication.");
        }
    }

    private static CommandException unreadable(Path file) {
        return CommandException.usage(
                file + " cannot be read.",
                "Remove it and give --base with the version that the files were edited from.");
    }
}
