package org.dogwoodwood.cli.log;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.dogwoodwood.cli.CommandException;
import org.dogwoodwood.cli.ExitStatus;
import org.dogwoodwood.cli.http.HttpRequestException;
import org.dogwoodwood.cli.http.HttpResponse;
import org.dogwoodwood.cli.http.NetworkAddress;
import org.dogwoodwood.cli.http.SimpleHttpClient;
import org.dogwoodwood.cli.settings.ToolSettings;
import org.dogwoodwood.cli.support.Pause;
import org.dogwoodwood.codec.configuration.ConfigurationJsonCodec;
import org.dogwoodwood.codec.log.ConfigurationRecord;
import org.dogwoodwood.codec.log.LogRecordCodec;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.configuration.Configuration;
import org.dogwoodwood.core.configuration.PublicationOutcome;

/** Reads the history of the configuration from the platform log and publishes new versions. */
public final class ConfigurationLog {

    private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(5);
    private static final Duration RETRY_DELAY = Duration.ofMillis(300);

    private final SimpleHttpClient http;
    private final NetworkAddress address;
    private final ConfigurationHistory history;

    private boolean inForceAssumed;

    private ConfigurationLog(SimpleHttpClient http, NetworkAddress address) {
        this.http = http;
        this.address = address;
        this.history = ConfigurationHistory.create(new PlatformLogReader(http, address));
    }

    /**
     * Reads the log to its end, and queries the nodes if the version in force cannot be derived
     * from the log.
     *
     * @throws CommandException if the log cannot be read
     */
    public static ConfigurationLog open(SimpleHttpClient http, ToolSettings settings) {
        ConfigurationLog log = new ConfigurationLog(http, settings.requireLogAddress());
        log.history.refresh();
        if (!log.history.isInForceVersionKnown()) {
            NodeConfigurations.query(http, settings).forEach(log.history::adopt);
        }
        if (!log.history.isInForceVersionKnown()) {
            log.inForceAssumed = true;
            log.history.assumeFirstRetained();
        }
        return log;
    }

    /** Returns the history read so far. */
    public ConfigurationHistory history() {
        return history;
    }

    /**
     * Publishes a configuration and returns the outcome. The append is retried with the same id
     * until the outcome can be read from the log; a repeated id has no effect, so retrying after a
     * lost response is safe.
     *
     * @param configuration the configuration, already validated
     * @param baseVersion the version that it was edited from
     * @param publicationId the id of the publication
     * @param limit how long to retry
     * @throws CommandException if the log cannot be used; the exit code states whether the
     *     publication may have taken effect
     */
    public PublicationOutcome publish(
            Configuration configuration, long baseVersion, String publicationId, Duration limit) {
        if (inForceAssumed) {
            throw CommandException.of(
                    ExitStatus.UNREACHABLE,
                    ErrorCode.OFFSET_EXPIRED,
                    "The version in force can no longer be derived from the platform log."
                            + " Nothing was published.",
                    "Name a running node with --node.");
        }
        byte[] record =
                LogRecordCodec.encode(
                        new ConfigurationRecord(
                                publicationId,
                                baseVersion,
                                ConfigurationJsonCodec.encode(configuration)));
        String body = new String(record, StandardCharsets.UTF_8);
        long end = System.nanoTime() + limit.toNanos();
        AppendState state = AppendState.NOT_SENT;
        while (true) {
            AppendState attempt = append(body, publicationId);
            state = state.combine(attempt);
            Optional<PublicationOutcome> outcome = Optional.empty();
            if (state != AppendState.NOT_SENT) {
                outcome = findOutcome(publicationId);
            }
            if (outcome.isPresent()) {
                return outcome.get();
            }
            if (System.nanoTime() > end) {
                throw publishFailure(state, publicationId);
            }
            Pause.sleep(RETRY_DELAY);
        }
    }

    private AppendState append(String body, String publicationId) {
        HttpResponse response;
        try {
            response =
                    http.post(
                            address,
                            PlatformLogReader.PATH,
                            Map.of("Publication-Id", publicationId),
                            body,
                            APPEND_TIMEOUT);
        } catch (HttpRequestException e) {
            return e.mayHaveTakenEffect() ? AppendState.MAYBE_APPENDED : AppendState.NOT_SENT;
        }
        return switch (response.status()) {
            case 200, 201 -> AppendState.APPENDED;
            case 429 -> AppendState.NOT_SENT;
            case 503 -> AppendState.MAYBE_APPENDED;
            default ->
                    throw CommandException.of(
                            ExitStatus.UNREACHABLE,
                            ErrorCode.LOG_PROTOCOL,
                            "The platform log rejected the record with HTTP status "
                                    + response.status()
                                    + ".");
        };
    }

    private Optional<PublicationOutcome> findOutcome(String publicationId) {
        try {
            history.refresh();
            return history.outcome(publicationId);
        } catch (CommandException e) {
            return Optional.empty();
        }
    }

    private CommandException publishFailure(AppendState state, String publicationId) {
        if (state == AppendState.NOT_SENT) {
            return CommandException.of(
                    ExitStatus.UNREACHABLE,
                    ErrorCode.LOG_UNAVAILABLE,
                    "The platform log at "
                            + address
                            + " did not accept the record. Nothing was published.");
        }
        return CommandException.of(
                ExitStatus.OUTCOME_UNKNOWN,
                ErrorCode.LOG_UNAVAILABLE,
                "It cannot be determined from the platform log at "
                        + address
                        + " whether the publication took effect.",
                "Run the same command with --publication-id "
                        + publicationId
                        + " when the log is available again; it publishes at most once.");
    }

    /** What is known about the append attempts of one publication, in ascending order. */
    private enum AppendState {
        NOT_SENT,
        MAYBE_APPENDED,
        APPENDED;

        AppendState combine(AppendState later) {
            return later.compareTo(this) > 0 ? later : this;
        }
    }
}
