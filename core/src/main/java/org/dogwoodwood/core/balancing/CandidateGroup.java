package org.dogwoodwood.core.balancing;

import java.util.List;
import java.util.random.RandomGenerator;

/** The candidates of one data centre, from which samples are drawn. Not thread-safe. */
final class CandidateGroup {

    private final String dataCentre;
    private final Candidate[] candidates;

    CandidateGroup(String dataCentre, List<Candidate> candidates) {
        this.dataCentre = dataCentre;
        this.candidates = candidates.toArray(new Candidate[0]);
    }

    String dataCentre() {
        return dataCentre;
    }

    int size() {
        return candidates.length;
    }

    /**
     * Returns the next candidate of a sample without replacement, which does not allocate: the
     * array remains a permutation of the candidates, and its first elements are the sample.
     *
     * @param drawn the number of candidates drawn before, less than {@link #size}
     * @param random the source of randomness
     */
    Candidate draw(int drawn, RandomGenerator random) {
        int index = drawn + random.nextInt(candidates.length - drawn);
        Candidate candidate = candidates[index];
        candidates[index] = candidates[drawn];
        candidates[drawn] = candidate;
        return candidate;
    }
}
