package org.dogwoodwood.core.balancing;

import java.util.Optional;
import org.dogwoodwood.core.model.FreeCapacity;

/** Provides what is known of the free capacity of a service in each data centre. */
@FunctionalInterface
public interface CapacitySource {

    /**
     * Returns the newest known free capacity, or empty if none is known that is recent enough.
     *
     * @param dataCentre the data centre, not null
     * @param nowNanos the current time on the monotonic clock, in nanoseconds
     */
    Optional<FreeCapacity> find(String dataCentre, long nowNanos);
}
