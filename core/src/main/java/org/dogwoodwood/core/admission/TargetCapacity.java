package org.dogwoodwood.core.admission;

/**
 * The capacity of a target.
 *
 * @param slots the number of calls that it can process concurrently when warm
 * @param connections the number of connections that it accepts
 * @param coldSlots the number of calls that it can process concurrently when cold
 * @param cold whether the target is cold
 * @param incarnation the incarnation of the target, which rises with each restart
 */
public record TargetCapacity(
        int slots, int connections, int coldSlots, boolean cold, long incarnation) {}
