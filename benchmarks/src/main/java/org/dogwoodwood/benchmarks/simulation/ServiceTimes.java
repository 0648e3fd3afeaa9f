package org.dogwoodwood.benchmarks.simulation;

import java.util.SplittableRandom;

/** Distributions of the work that a call asks of its target; all have the same mean. */
public enum ServiceTimes {
    EXPONENTIAL("exponential") {
        @Override
        double sampleUnit(SplittableRandom random) {
            return -Math.log(1 - random.nextDouble());
        }
    },
    /** Log-normal with sigma 1; mu is -1/2 for a mean of 1. */
    LOG_NORMAL("log-normal") {
        @Override
        double sampleUnit(SplittableRandom random) {
            return logNormalUnit(1, random);
        }
    },
    /** Log-normal with sigma 0.3. */
    EVEN("even") {
        @Override
        double sampleUnit(SplittableRandom random) {
            return logNormalUnit(EVEN_SIGMA, random);
        }
    },
    /** One call in a hundred takes 20 times as long; both kinds vary by a tenth. */
    BIMODAL("bimodal") {
        @Override
        double sampleUnit(SplittableRandom random) {
            double base = 1 / (1 - LONG_SHARE + LONG_SHARE * LONG_RATIO);
            double spread = 0.9 + 0.2 * random.nextDouble();
            return base * spread * (random.nextDouble() < LONG_SHARE ? LONG_RATIO : 1);
        }
    };

    private static final double EVEN_SIGMA = 0.3;
    private static final double LONG_SHARE = 0.01;
    private static final double LONG_RATIO = 20;

    private final String label;

    ServiceTimes(String label) {
        this.label = label;
    }

    /** Returns the name in the reports. */
    public String label() {
        return label;
    }

    /** Returns the work of one call with a mean, in nanoseconds at full speed. */
    public double sampleNanos(double meanNanos, SplittableRandom random) {
        return meanNanos * sampleUnit(random);
    }

    abstract double sampleUnit(SplittableRandom random);

    private static double logNormalUnit(double sigma, SplittableRandom random) {
        return Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    }
}
