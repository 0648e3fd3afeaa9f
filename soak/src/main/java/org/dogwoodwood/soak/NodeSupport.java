package org.dogwoodwood.soak;

import java.util.concurrent.ScheduledExecutorService;

/**
 * What the daemons of a soak share.
 *
 * @param command the command line of a node
 * @param checker checks how processes start and end
 * @param hangups decides when a process gets SIGHUP
 * @param timers runs delayed steps
 * @param counts counts what happened
 * @param seed determines how long processes are down, and their signals at the start
 */
record NodeSupport(
        NodeCommand command,
        LifeChecker checker,
        HangupPolicy hangups,
        ScheduledExecutorService timers,
        Counts counts,
        long seed) {}
