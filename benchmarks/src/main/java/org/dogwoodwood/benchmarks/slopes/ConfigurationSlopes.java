package org.dogwoodwood.benchmarks.slopes;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.benchmarks.slopes.Sample.Unit;
import org.dogwoodwood.codec.configuration.ConfigurationJsonCodec;
import org.dogwoodwood.core.configuration.Configuration;

/** Measures the costs that grow with the number of services in the configuration. */
final class ConfigurationSlopes {

    private static final String SIZE_UNIT = "services";

    private ConfigurationSlopes() {}

    /** Measures at each number of services. */
    static List<Sample> measure(int[] sizes) {
        List<Sample> samples = new ArrayList<>();
        for (int size : sizes) {
            Configuration configuration = SyntheticSystem.configuration(size);
            String document = ConfigurationJsonCodec.encode(configuration);
            samples.add(
                    sample(
                            Quantity.CONFIGURATION_BYTES,
                            size,
                            document.getBytes(StandardCharsets.UTF_8).length,
                            Unit.BYTES));
            samples.add(
                    sample(
                            Quantity.CONFIGURATION_HEAP,
                            size,
                            HeapMeter.retainedBytes(() -> ConfigurationJsonCodec.decode(document)),
                            Unit.BYTES));
            samples.add(
                    sample(
                            Quantity.CONFIGURATION_DECODE,
                            size,
                            CpuMeter.microsecondsPerRun(
                                    () -> ConfigurationJsonCodec.decode(document)),
                            Unit.MICROSECONDS));
            samples.add(
                    sample(
                            Quantity.CONFIGURATION_ENCODE,
                            size,
                            CpuMeter.microsecondsPerRun(
                                    () -> ConfigurationJsonCodec.encode(configuration)),
                            Unit.MICROSECONDS));
        }
        return samples;
    }

    private static Sample sample(Quantity quantity, int size, double value, Unit unit) {
        return new Sample(quantity, SIZE_UNIT, size, value, unit);
    }
}
