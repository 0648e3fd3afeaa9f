package org.dogwoodwood.benchmarks.policy;

import java.util.List;
import java.util.SplittableRandom;

/**
 * The strategies by which an ingress of a baseline policy chooses among the targets of a service.
 */
enum TargetChooser {
    RANDOM {
        @Override
        int choose(List<Integer> targets, SenderState sender, SplittableRandom random) {
            return targets.get(random.nextInt(targets.size()));
        }
    },
    ROUND_ROBIN {
        @Override
        int choose(List<Integer> targets, SenderState sender, SplittableRandom random) {
            // The position of a service is kept under its first target.
            int firstTarget = targets.get(0);
            return targets.get(
                    Math.floorMod(sender.roundRobinPositions[firstTarget]++, targets.size()));
        }
    },
    /**
     * Chooses the target with the fewest calls of this sender in flight; ties are broken randomly.
     */
    LEAST_IN_FLIGHT {
        @Override
        int choose(List<Integer> targets, SenderState sender, SplittableRandom random) {
            int start = random.nextInt(targets.size());
            int best = -1;
            for (int i = 0; i < targets.size(); i++) {
                int target = targets.get((start + i) % targets.size());
                if (best < 0 || sender.inFlight[target] < sender.inFlight[best]) {
                    best = target;
                }
            }
            return best;
        }
    },
    /** Chooses the less loaded of two random targets according to their latest load reports. */
    TWO_CHOICES {
        @Override
        int choose(List<Integer> targets, SenderState sender, SplittableRandom random) {
            int first = random.nextInt(targets.size());
            int second = (first + 1 + random.nextInt(targets.size() - 1)) % targets.size();
            int one = targets.get(first);
            int other = targets.get(second);
            return sender.reportedLoads[one] <= sender.reportedLoads[other] ? one : other;
        }
    };

    /** The state that one sending ingress keeps; the arrays are indexed by target. */
    static final class SenderState {
        final int[] roundRobinPositions;
        final int[] inFlight;
        final int[] reportedLoads;
        final long[] reportTimesNanos;

        SenderState(int targets, SplittableRandom random) {
            this.roundRobinPositions = random.ints(targets, 0, targets).toArray();
            this.inFlight = new int[targets];
            this.reportedLoads = new int[targets];
            this.reportTimesNanos = new long[targets];
        }
    }

    abstract int choose(List<Integer> targets, SenderState sender, SplittableRandom random);
}
