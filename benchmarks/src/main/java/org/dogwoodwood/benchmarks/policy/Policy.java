package org.dogwoodwood.benchmarks.policy;

import java.util.List;
import org.dogwoodwood.benchmarks.simulation.Simulation;

/** The compared policies, each with its name in the reports. */
public enum Policy {
    DOGWOODWOOD("dogwoodwood") {
        @Override
        public Simulation.ArrivalHandler create(Simulation simulation, long seed) {
            return DogwoodwoodPolicy.create(simulation, seed);
        }
    },
    RANDOM("random") {
        @Override
        public Simulation.ArrivalHandler create(Simulation simulation, long seed) {
            return new BaselinePolicy(simulation, seed, TargetChooser.RANDOM);
        }
    },
    ROUND_ROBIN("round-robin") {
        @Override
        public Simulation.ArrivalHandler create(Simulation simulation, long seed) {
            return new BaselinePolicy(simulation, seed, TargetChooser.ROUND_ROBIN);
        }
    },
    LEAST_IN_FLIGHT("least-in-flight") {
        @Override
        public Simulation.ArrivalHandler create(Simulation simulation, long seed) {
            return new BaselinePolicy(simulation, seed, TargetChooser.LEAST_IN_FLIGHT);
        }
    },
    TWO_CHOICES("two-choices") {
        @Override
        public Simulation.ArrivalHandler create(Simulation simulation, long seed) {
            return new BaselinePolicy(simulation, seed, TargetChooser.TWO_CHOICES);
        }
    },
    CENTRAL_QUEUE("central-queue") {
        @Override
        public Simulation.ArrivalHandler create(Simulation simulation, long seed) {
            return new CentralQueuePolicy(simulation);
        }
    };

    /** The policies in common use, which {@link #DOGWOODWOOD} must outperform. */
    public static final List<Policy> BASELINES =
            List.of(RANDOM, ROUND_ROBIN, LEAST_IN_FLIGHT, TWO_CHOICES);

    private final String label;

    Policy(String label) {
        this.label = label;
    }

    /** Returns the name of this policy in the reports. */
    public String label() {
        return label;
    }

    /**
     * Creates this policy for a simulation.
     *
     * @param simulation the simulation
     * @param seed the seed of the random choices of the policy
     */
    public abstract Simulation.ArrivalHandler create(Simulation simulation, long seed);
}
