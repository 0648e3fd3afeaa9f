package org.dogwoodwood.node.http;

import com.fasterxml.jackson.annotation.JsonProperty;
import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.dogwoodwood.core.ErrorCode;

/**
 * The JSON body of an error answer of the node itself.
 *
 * @param code the number of the error
 * @param kind the name of the error
 * @param outcome what is known about the effect of the call
 * @param message what happened
 * @param remedy what the receiver can do
 */
public record ErrorBody(
        @JsonProperty("code") int code,
        @JsonProperty("kind") String kind,
        @JsonProperty("outcome") String outcome,
        @JsonProperty("message") String message,
        @JsonProperty("remedy") String remedy) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the body for an error. */
    public static ErrorBody of(ErrorCode code, String message) {
        return new ErrorBody(
                code.number(), code.name(), code.outcome().headerValue(), message, code.remedy());
    }

    /** Returns the JSON text. */
    public String toJson() {
        try {
            return MAPPER.writeValueAsString(this);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("An error body always has a JSON form.", e);
        }
    }
}
