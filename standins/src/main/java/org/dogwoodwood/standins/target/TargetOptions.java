package org.dogwoodwood.standins.target;

import java.util.Optional;
import org.dogwoodwood.standins.support.Address;

/**
 * The options of a stand-in target.
 *
 * @param service the service that it runs
 * @param port the port on 127.0.0.1; 0 for a free one
 * @param adminAddress the admin address of the node beside it, or empty to send no announcements
 * @param slots the number of calls that it runs concurrently when warm
 * @param coldSlots the number of calls that it can run concurrently when cold without collapsing
 * @param connections the number of connections that it accepts
 * @param serviceTimeMillis how long a call takes when warm, in milliseconds
 * @param coldCalls the number of calls that it must finish without collapse before it is warm; 0 to
 *     start warm
 * @param restartMillis how long it is down after a crash, in milliseconds; 0 to end the process
 */
public record TargetOptions(
        String service,
        int port,
        Optional<Address> adminAddress,
        int slots,
        int coldSlots,
        int connections,
        int serviceTimeMillis,
        int coldCalls,
        int restartMillis) {

    public static final int DEFAULT_SLOTS = 6;
    public static final int DEFAULT_COLD_SLOTS = 1;
    public static final int DEFAULT_CONNECTIONS = 220;
    public static final int DEFAULT_SERVICE_TIME_MILLIS = 5;
    public static final int DEFAULT_RESTART_MILLIS = 500;

    /** Returns the options of a warm target on a free port that sends no announcements. */
    public static TargetOptions warm(String service, int slots, int serviceTimeMillis) {
        return new TargetOptions(
                service,
                0,
                Optional.empty(),
                slots,
                DEFAULT_COLD_SLOTS,
                DEFAULT_CONNECTIONS,
                serviceTimeMillis,
                0,
                DEFAULT_RESTART_MILLIS);
    }

    /** Returns a copy of these options for a target announced to the given admin address. */
    public TargetOptions announcedToNode(Address address) {
        return new TargetOptions(
                service,
                port,
                Optional.of(address),
                slots,
                coldSlots,
                connections,
                serviceTimeMillis,
                coldCalls,
                restartMillis);
    }

    /** Returns a copy of these options, cold until the given number of calls is finished. */
    public TargetOptions coldForCalls(int calls) {
        return new TargetOptions(
                service,
                port,
                adminAddress,
                slots,
                coldSlots,
                connections,
                serviceTimeMillis,
                calls,
                restartMillis);
    }
}
