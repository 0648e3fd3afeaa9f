package org.dogwoodwood.codec.log;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.ObjectReader;
import com.fasterxml.jackson.databind.ObjectWriter;
import com.fasterxml.jackson.databind.PropertyNamingStrategies;
import com.fasterxml.jackson.databind.json.JsonMapper;
import java.io.IOException;
import org.dogwoodwood.core.DogwoodwoodException;
import org.dogwoodwood.core.ErrorCode;

/** Encodes log records as JSON; ignores unknown keys so that releases can be mixed. */
public final class LogRecordCodec {

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .propertyNamingStrategy(PropertyNamingStrategies.SNAKE_CASE)
                    .disable(DeserializationFeature.FAIL_ON_UNKNOWN_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_MISSING_CREATOR_PROPERTIES)
                    .enable(DeserializationFeature.FAIL_ON_NULL_CREATOR_PROPERTIES)
                    .build();
    private static final ObjectWriter WRITER = MAPPER.writerFor(LogRecord.class);
    private static final ObjectReader READER = MAPPER.readerFor(LogRecord.class);

    private LogRecordCodec() {}

    /** Encodes a record. */
    public static byte[] encode(LogRecord entry) {
        try {
            return WRITER.writeValueAsBytes(entry);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("The log record cannot be encoded as JSON.", e);
        }
    }

    /**
     * Decodes a record.
     *
     * @param data the encoded record, not null
     * @throws DogwoodwoodException if the data is not a record of a known type
     */
    public static LogRecord decode(byte[] data) {
        try {
            LogRecord entry = READER.readValue(data);
            if (entry == null) {
                throw new DogwoodwoodException(ErrorCode.LOG_PROTOCOL, "A log record is null.");
            }
            return entry;
        } catch (IOException | IllegalArgumentException e) {
            throw new DogwoodwoodException(
                    ErrorCode.LOG_PROTOCOL, "A log record cannot be decoded.", e);
        }
    }
}
