package org.dogwoodwood.benchmarks.slopes;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.List;

/**
 * The least-squares line through the samples of one quantity.
 *
 * @param intercept the value at size 0
 * @param slope the increase of the value per unit of size
 * @param largestDeviation the largest distance of a sample from the line, as a share of the largest
 *     sample
 */
public record LinearFit(double intercept, double slope, double largestDeviation) {

    /**
     * Fits a line by least squares.
     *
     * @param samples at least two samples of different sizes, not null
     * @throws IllegalArgumentException if the samples have fewer than two different sizes
     */
    public static LinearFit of(List<Sample> samples) {
        checkArgument(
                samples.stream().mapToInt(Sample::size).distinct().count() > 1,
                "A linear fit requires samples of at least two different sizes.");
        double meanSize = samples.stream().mapToInt(Sample::size).average().orElseThrow();
        double meanValue = samples.stream().mapToDouble(Sample::value).average().orElseThrow();
        double covariance = 0;
        double variance = 0;
        for (Sample sample : samples) {
            covariance += (sample.size() - meanSize) * (sample.value() - meanValue);
            variance += (sample.size() - meanSize) * (sample.size() - meanSize);
        }
        double slope = covariance / variance;
        double intercept = meanValue - slope * meanSize;
        return new LinearFit(intercept, slope, largestDeviation(samples, intercept, slope));
    }

    /** Returns the value of the line at a size. */
    public double valueAt(double size) {
        return intercept + slope * size;
    }

    private static double largestDeviation(List<Sample> samples, double intercept, double slope) {
        double largestValue =
                samples.stream().mapToDouble(sample -> Math.abs(sample.value())).max().orElse(0);
        if (largestValue == 0) {
            return 0;
        }
        return samples.stream()
                        .mapToDouble(
                                sample ->
                                        Math.abs(
                                                sample.value() - intercept - slope * sample.size()))
                        .max()
                        .orElse(0)
                / largestValue;
    }
}
