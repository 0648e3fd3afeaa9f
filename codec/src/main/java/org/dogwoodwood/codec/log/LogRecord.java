package org.dogwoodwood.codec.log;

import com.fasterxml.jackson.annotation.JsonSubTypes;
import com.fasterxml.jackson.annotation.JsonTypeInfo;

/** A record of the streams {@code membership} and {@code configuration}. */
@JsonTypeInfo(use = JsonTypeInfo.Id.NAME, property = "type")
@JsonSubTypes({
    @JsonSubTypes.Type(value = AnnouncementRecord.class, name = "ANNOUNCEMENT"),
    @JsonSubTypes.Type(value = LeaveRecord.class, name = "LEAVE"),
    @JsonSubTypes.Type(value = ExpiryRecord.class, name = "EXPIRY"),
    @JsonSubTypes.Type(value = TargetLeavesRecord.class, name = "TARGET_LEAVES"),
    @JsonSubTypes.Type(value = DataCentreOrderRecord.class, name = "DATA_CENTRE_ORDER"),
    @JsonSubTypes.Type(value = ConfigurationRecord.class, name = "CONFIGURATION"),
    @JsonSubTypes.Type(value = RenewalRecord.class, name = "RENEWAL")
})
public sealed interface LogRecord
        permits AnnouncementRecord,
                LeaveRecord,
                ExpiryRecord,
                TargetLeavesRecord,
                DataCentreOrderRecord,
                ConfigurationRecord,
                RenewalRecord {
    /** Returns the subject of the record; a later record with the same subject replaces it. */
    String subject();
}
