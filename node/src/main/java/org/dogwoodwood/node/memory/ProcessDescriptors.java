package org.dogwoodwood.node.memory;

import com.sun.management.UnixOperatingSystemMXBean;
import java.lang.management.ManagementFactory;

/** The limit of the operating system on the descriptors of this process. */
public final class ProcessDescriptors {

    // The usual limit of a process, for systems that do not tell it.
    private static final long DEFAULT_MAX = 1_024;

    private ProcessDescriptors() {}

    /** Returns the number of descriptors that the process may open in addition to its open ones. */
    public static long available() {
        return ManagementFactory.getOperatingSystemMXBean()
                        instanceof UnixOperatingSystemMXBean system
                ? system.getMaxFileDescriptorCount() - system.getOpenFileDescriptorCount()
                : DEFAULT_MAX;
    }
}
