package org.dogwoodwood.core.model;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.Objects;

/**
 * The free capacity of a service in one data centre.
 *
 * @param dataCentre the data centre
 * @param service the service
 * @param freeSlots the number of free slots; a slot of a slow target counts as a part of one
 * @param serviceMicros the usual service time of calls there, in microseconds
 * @param ageMillis the time since the capacity was estimated, in milliseconds
 */
public record FreeCapacity(
        String dataCentre, String service, int freeSlots, long serviceMicros, long ageMillis) {

    /** Checks that the names are present and no number is negative. */
    public FreeCapacity {
        Objects.requireNonNull(dataCentre, "dataCentre");
        Objects.requireNonNull(service, "service");
        checkArgument(
                freeSlots >= 0 && serviceMicros >= 0 && ageMillis >= 0,
                "Free slots, service time and age must not be negative.");
    }
}
