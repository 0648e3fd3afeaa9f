package org.dogwoodwood.benchmarks.slopes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatIllegalArgumentException;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against linear fits that do not match their samples. */
class LinearFitTests {

    @Test
    void fitsCollinearSamplesWithoutDeviation() {
        LinearFit fit = LinearFit.of(List.of(sample(10, 130), sample(20, 230), sample(40, 430)));

        assertThat(fit.slope()).isCloseTo(10, within(1e-9));
        assertThat(fit.intercept()).isCloseTo(30, within(1e-9));
        assertThat(fit.largestDeviation()).isCloseTo(0, within(1e-9));
        assertThat(fit.valueAt(23_000)).isCloseTo(230_030, within(1e-6));
    }

    @Test
    void reportsDeviationAsAShareOfTheLargestSample() {
        LinearFit fit = LinearFit.of(List.of(sample(0, 0), sample(1, 3), sample(2, 0)));

        assertThat(fit.largestDeviation()).isCloseTo(2.0 / 3, within(1e-9));
    }

    @Test
    void rejectsSamplesOfASingleSize() {
        assertThatIllegalArgumentException()
                .isThrownBy(() -> LinearFit.of(List.of(sample(5, 1), sample(5, 2))));
    }

    private static Sample sample(int size, double value) {
        return new Sample(Quantity.MEMBERSHIP_HEAP, "members", size, value, Sample.Unit.BYTES);
    }
}
