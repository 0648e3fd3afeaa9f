package org.dogwoodwood.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/** What all targets did, in the order in which they finished it. */
final class AnswerLog {

    private final Map<String, List<Run>> byId = new HashMap<>();
    private final Map<String, Run> byStamp = new HashMap<>();
    private final Set<String> arrivedIds = new HashSet<>();
    private int arrivals;

    /** Counts a request; returns its position among those that all targets received. */
    synchronized int addArrival(String id) {
        arrivedIds.add(id);
        arrivals++;
        return arrivals;
    }

    /** Returns whether a request with an id has reached a target. */
    synchronized boolean hasArrived(String id) {
        return arrivedIds.contains(id);
    }

    /** Adds what a target did with a request, and gives its answer a fresh stamp. */
    synchronized Run add(
            int arrival,
            String id,
            String target,
            int connection,
            int status,
            boolean rejected,
            AnswerEnding ending) {
        int order = byStamp.size() + 1;
        String stamp = target + "." + order;
        Run run = new Run(order, arrival, id, target, connection, status, rejected, stamp, ending);
        byStamp.put(stamp, run);
        byId.computeIfAbsent(id, ignored -> new ArrayList<>()).add(run);
        return run;
    }

    /** Returns the run that an answer with a stamp tells of. */
    synchronized Optional<Run> withStamp(String stamp) {
        return Optional.ofNullable(byStamp.get(stamp));
    }

    /** Returns what targets did with the requests of one id. */
    synchronized List<Run> withId(String id) {
        return List.copyOf(byId.getOrDefault(id, List.of()));
    }

    /** Returns what targets did, by the id of the request. */
    synchronized Map<String, List<Run>> all() {
        Map<String, List<Run>> copy = new HashMap<>();
        byId.forEach((id, runs) -> copy.put(id, List.copyOf(runs)));
        return copy;
    }
}
