package org.dogwoodwood.core.balancing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;

/**
 * The candidates of a service grouped by data centre, built once for each set of candidates and not
 * for each call. Used by one thread.
 */
public final class CandidateGroups {

    private final CandidateGroup local;
    private final List<CandidateGroup> others;
    private final int size;

    private CandidateGroups(CandidateGroup local, List<CandidateGroup> others, int size) {
        this.local = local;
        this.others = others;
        this.size = size;
    }

    /**
     * Groups candidates by data centre.
     *
     * @param candidates the targets of the service that accept new calls, not null
     * @param localDataCentre the data centre of the ingress, not null
     */
    public static CandidateGroups of(List<Candidate> candidates, String localDataCentre) {
        Objects.requireNonNull(localDataCentre, "localDataCentre");
        Map<String, List<Candidate>> byDataCentre = new LinkedHashMap<>();
        byDataCentre.put(localDataCentre, new ArrayList<>());
        for (Candidate candidate : candidates) {
            byDataCentre
                    .computeIfAbsent(candidate.dataCentre(), ignored -> new ArrayList<>())
                    .add(candidate);
        }
        CandidateGroup local =
                new CandidateGroup(localDataCentre, byDataCentre.remove(localDataCentre));
        List<CandidateGroup> others = new ArrayList<>();
        byDataCentre.forEach((name, group) -> others.add(new CandidateGroup(name, group)));
        return new CandidateGroups(local, List.copyOf(others), candidates.size());
    }

    /**
     * Returns candidates whose data centre is of no importance.
     *
     * @param candidates the candidates, not null
     */
    static CandidateGroups ofOneGroup(List<Candidate> candidates) {
        CandidateGroup all = new CandidateGroup("", candidates);
        return new CandidateGroups(all, List.of(), candidates.size());
    }

    /** Returns the number of candidates in all data centres. */
    public int size() {
        return size;
    }

    CandidateGroup local() {
        return local;
    }

    List<CandidateGroup> others() {
        return others;
    }
}
