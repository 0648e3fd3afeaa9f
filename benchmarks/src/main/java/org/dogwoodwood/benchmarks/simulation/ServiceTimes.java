package org.dogwoodwood.benchmarks.simulation;

import java.util.SplittableRandom;

/** Distributions of the demand of calls; all have the same mean. */
public enum ServiceTimes {
    EXPONENTIAL("exponential") {
        @Override
        double sampleWithMeanOne(SplittableRandom random) {
            return -Math.log(1 - random.nextDouble());
        }
    },
    /** Log-normal with sigma 1; mu is -1/2, which gives a mean of 1. */
    LOG_NORMAL("log-normal") {
        @Override
        double sampleWithMeanOne(SplittableRandom random) {
            return logNormalWithMeanOne(1, random);
        }
    },
    /** Log-normal with sigma 0.3. */
    EVEN("even") {
        @Override
        double sampleWithMeanOne(SplittableRandom random) {
            return logNormalWithMeanOne(EVEN_SIGMA, random);
        }
    },
    /** One call in 100 takes 20 times as long as the others; both kinds vary by up to 10 %. */
    BIMODAL("bimodal") {
        @Override
        double sampleWithMeanOne(SplittableRandom random) {
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

    /** Returns the name of this distribution in the reports. */
    public String label() {
        return label;
    }

    /**
     * Samples the demand of one call.
     *
     * @param meanNanos the mean demand, in nanoseconds at full speed
     * @param random the source of randomness
     * @return the demand, in nanoseconds at full speed
     */
    public double sampleNanos(double meanNanos, SplittableRandom random) {
        return meanNanos * sampleWithMeanOne(random);
    }

    abstract double sampleWithMeanOne(SplittableRandom random);

    private static double logNormalWithMeanOne(double sigma, SplittableRandom random) {
        return Math.exp(sigma * random.nextGaussian() - sigma * sigma / 2);
    }
}
