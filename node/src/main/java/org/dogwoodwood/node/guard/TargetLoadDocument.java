package org.dogwoodwood.node.guard;

import com.fasterxml.jackson.annotation.JsonIgnoreProperties;
import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.util.Optional;

/**
 * The body of a target's {@code /load}; fields that the target omits are null.
 *
 * @param inFlight the number of calls in flight at the target
 * @param slots the number of calls that it can run concurrently
 * @param cold whether it is cold
 * @param draining whether it accepts no new work
 * @param incarnation a value that changes with each restart of the target
 */
@JsonIgnoreProperties(ignoreUnknown = true)
record TargetLoadDocument(
        @JsonProperty("in_flight") Integer inFlight,
        @JsonProperty("slots") Integer slots,
        @JsonProperty("cold") Boolean cold,
        @JsonProperty("draining") Boolean draining,
        @JsonProperty("incarnation") Long incarnation) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Parses a load document; returns empty if the text is not valid. */
    static Optional<TargetLoadDocument> parse(String json) {
        try {
            return Optional.ofNullable(MAPPER.readValue(json, TargetLoadDocument.class));
        } catch (JsonProcessingException e) {
            return Optional.empty();
        }
    }
}
