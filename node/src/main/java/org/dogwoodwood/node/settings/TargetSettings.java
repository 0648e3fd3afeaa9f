package org.dogwoodwood.node.settings;

import java.util.Objects;

/**
 * The target beside a node, for targets that do not announce themselves.
 *
 * @param service the service of the target
 * @param address the HTTP address of the target
 * @param slots the number of concurrent calls of the target when warm
 * @param connections the maximum number of connections that the target accepts
 * @param coldSlots the number of concurrent calls of the target when cold
 */
public record TargetSettings(
        String service, Endpoint address, int slots, int connections, int coldSlots) {

    /** Checks that the references are present. */
    public TargetSettings {
        Objects.requireNonNull(service, "service");
        Objects.requireNonNull(address, "address");
    }
}
