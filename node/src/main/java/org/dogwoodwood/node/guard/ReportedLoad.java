package org.dogwoodwood.node.guard;

/**
 * The load that a target reports with an answer.
 *
 * @param running the number of calls that run at the target
 * @param waiting the number of calls that are queued at the target
 * @param slots the number of calls that it can run concurrently
 * @param slowdown the present service time as a multiple of the usual one
 */
public record ReportedLoad(int running, int waiting, int slots, double slowdown) {}
