package org.dogwoodwood.cli.http;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;

/**
 * An HTTP response.
 *
 * @param status the status code
 * @param body the body as text
 */
public record HttpResponse(int status, String body) {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    /** Returns the body as JSON, or a missing node if it is not JSON. */
    public JsonNode json() {
        try {
            return MAPPER.readTree(body);
        } catch (JsonProcessingException e) {
            return MAPPER.missingNode();
        }
    }
}
