package org.dogwoodwood.node.guard;

/**
 * The load that a target tells beside an answer.
 *
 * @param running the calls that it works on
 * @param waiting the calls that wait at the target
 * @param slots the calls that it can work on at a time
 * @param slowdown how long work takes now, as a multiple of the usual time
 */
public record TargetCondition(int running, int waiting, int slots, double slowdown) {}
