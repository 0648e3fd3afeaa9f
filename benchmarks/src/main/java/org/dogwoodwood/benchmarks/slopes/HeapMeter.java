package org.dogwoodwood.benchmarks.slopes;

import java.lang.management.ManagementFactory;
import java.lang.ref.Reference;
import java.util.function.Supplier;

/** Measures the heap that an object retains, by collecting garbage before and after. */
final class HeapMeter {

    private static final int COLLECTIONS = 4;

    private HeapMeter() {}

    /**
     * Measures the retained heap of an object.
     *
     * @param factory creates the object; its other allocations must become unreachable
     * @return the growth of the used heap, in bytes
     */
    static <T> double retainedBytes(Supplier<T> factory) {
        long before = usedAfterCollection();
        T object = factory.get();
        try {
            return (double) Math.max(0, usedAfterCollection() - before);
        } finally {
            Reference.reachabilityFence(object);
        }
    }

    private static long usedAfterCollection() {
        for (int i = 0; i < COLLECTIONS; i++) {
            ManagementFactory.getMemoryMXBean().gc();
        }
        return ManagementFactory.getMemoryMXBean().getHeapMemoryUsage().getUsed();
    }
}
