package org.dogwoodwood.node.ingress;

import java.util.List;
import java.util.Optional;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.routing.RouteTarget;

/** Finds the node that owns an {@code Idempotency-Key}. */
public interface KeyRouter {

    /**
     * Returns the owner of a key, or empty if the target is chosen as for a call without a key.
     *
     * @param service the name of the service
     * @param key the caller's key
     * @param targets the targets of the service that accept work
     */
    Optional<NodeId> ownerOf(String service, String key, List<RouteTarget> targets);

    /** Returns a router that finds no owner for any key. */
    static KeyRouter none() {
        return (service, key, targets) -> Optional.empty();
    }
}
