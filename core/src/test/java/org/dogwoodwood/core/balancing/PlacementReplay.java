package org.dogwoodwood.core.balancing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.TreeSet;
import org.dogwoodwood.core.model.FreeCapacity;
import org.dogwoodwood.core.model.LoadReport;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetState;

/**
 * Replays calls at targets in several data centres with a virtual clock. Each data centre has
 * several ingress nodes, which learn the load only from the answers to their own calls.
 */
final class PlacementReplay {

    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;
    static final int SLOTS = 6;
    static final int QUEUE = 24;
    static final double SERVICE_SECONDS = 0.1;

    private static final long OBJECTIVE = 500 * MILLI;
    private static final long CROSSING = 4_500_000L;
    private static final long GOSSIP_INTERVAL = 500 * MILLI;
    private static final int INGRESSES = 24;

    final Map<String, Integer> crossed = new HashMap<>();
    int stayed;
    int late;
    int refused;
    final Map<String, Integer> queuedAtOnce = new HashMap<>();

    private final SplittableRandom random = new SplittableRandom(11);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::nanos).thenComparingLong(Event::order));
    private final Map<NodeId, Target> targets = new HashMap<>();
    private final List<Candidate> all = new ArrayList<>();
    private final Map<String, List<Ingress>> ingresses = new TreeMap<>();
    private long now;
    private long order;

    PlacementReplay(Map<String, Integer> targetsByDataCentre) {
        new TreeMap<>(targetsByDataCentre)
                .forEach(
                        (dataCentre, count) -> {
                            for (int i = 0; i < count; i++) {
                                NodeId node = NodeId.of(dataCentre + "-" + i);
                                targets.put(node, new Target(node, dataCentre));
                                all.add(new Candidate(node, 1, dataCentre, MILLI, false));
                            }
                        });
        for (String dataCentre : new TreeSet<>(targetsByDataCentre.keySet())) {
            List<Candidate> seen = new ArrayList<>();
            for (Candidate candidate : all) {
                long roundTrip = candidate.dataCentre().equals(dataCentre) ? MILLI : 2 * CROSSING;
                seen.add(
                        new Candidate(
                                candidate.node(), 1, candidate.dataCentre(), roundTrip, false));
            }
            List<Ingress> group = new ArrayList<>();
            for (int i = 0; i < INGRESSES; i++) {
                group.add(Ingress.create(dataCentre, CandidateGroups.of(seen, dataCentre)));
            }
            ingresses.put(dataCentre, group);
        }
        exchangeCapacities();
    }

    /** Returns the calls per second that the targets of a data centre can serve. */
    double capacity(String dataCentre) {
        long count = targets.values().stream().filter(t -> t.dataCentre.equals(dataCentre)).count();
        return count * SLOTS / SERVICE_SECONDS;
    }

    /** Runs a phase with the given calls per second from each data centre; counts start anew. */
    void run(double seconds, Map<String, Double> callsPerSecond) {
        crossed.clear();
        queuedAtOnce.clear();
        stayed = 0;
        late = 0;
        refused = 0;
        long end = now + (long) (seconds * SECOND);
        new TreeMap<>(callsPerSecond).forEach((from, rate) -> scheduleArrival(from, rate, end));
        while (!events.isEmpty() && events.peek().nanos() <= end) {
            Event event = events.poll();
            now = event.nanos();
            event.action().run();
        }
        now = end;
    }

    int crossedFrom(String from) {
        return crossed.entrySet().stream()
                .filter(entry -> entry.getKey().startsWith(from))
                .mapToInt(Map.Entry::getValue)
                .sum();
    }

    private void scheduleArrival(String from, double rate, long end) {
        long next = now + (long) (-Math.log(1 - random.nextDouble()) / rate * SECOND);
        if (next < end) {
            at(
                    next,
                    () -> {
                        List<Ingress> group = ingresses.get(from);
                        new Call(group.get(random.nextInt(group.size()))).send();
                        scheduleArrival(from, rate, end);
                    });
        }
    }

    private void at(long nanos, Runnable action) {
        events.add(new Event(nanos, order++, action));
    }

    private record Event(long nanos, long order, Runnable action) {}

    /** Exchanges estimates of free capacity between all pairs of nodes, as old as gossip is. */
    private void exchangeCapacities() {
        List<Ingress> nodes = ingresses.values().stream().flatMap(List::stream).toList();
        for (Ingress node : nodes) {
            node.strategy()
                    .freeSlots(node.groups(), now)
                    .ifPresent(free -> node.capacities().add(node.estimate(free), now));
        }
        for (Ingress from : nodes) {
            Ingress to = nodes.get(random.nextInt(nodes.size()));
            sendCapacities(from, to);
            sendCapacities(to, from);
        }
        at(now + GOSSIP_INTERVAL, this::exchangeCapacities);
    }

    private void sendCapacities(Ingress from, Ingress to) {
        List<FreeCapacity> message = from.capacities().messageTo(to.dataCentre(), now);
        at(now + CROSSING, () -> message.forEach(entry -> to.capacities().add(entry, now)));
    }

    private record Ingress(
            String dataCentre,
            CandidateGroups groups,
            CapacityTable capacities,
            ExpectedCompletionStrategy strategy) {

        static Ingress create(String dataCentre, CandidateGroups groups) {
            CapacityTable capacities = CapacityTable.create(dataCentre);
            ExpectedCompletionStrategy strategy =
                    ExpectedCompletionStrategy.create(
                            (name, nowNanos) -> capacities.find("s", name, nowNanos));
            strategy.setSenders(3 * INGRESSES);
            return new Ingress(dataCentre, groups, capacities, strategy);
        }

        FreeCapacity estimate(int freeSlots) {
            return new FreeCapacity(dataCentre, "s", freeSlots, 0, 0);
        }
    }

    private final class Call {

        private static final int MAX_ATTEMPTS = 3;

        private final Ingress ingress;
        private final long arrived = now;
        private final Set<NodeId> excluded = new HashSet<>();

        Call(Ingress ingress) {
            this.ingress = ingress;
        }

        void send() {
            CallNeeds callNeeds =
                    CallNeeds.of(arrived + OBJECTIVE - now, arrived + 2 * SECOND - now, 0);
            NodeId node =
                    ingress.strategy()
                            .choose(ingress.groups(), excluded, callNeeds, now, random)
                            .orElseThrow();
            Target target = targets.get(node);
            boolean local = target.dataCentre.equals(ingress.dataCentre());
            if (local) {
                stayed++;
            } else {
                crossed.merge(ingress.dataCentre() + ">" + target.dataCentre, 1, Integer::sum);
            }
            ingress.strategy().onSent(node, now);
            long oneWay = local ? MILLI / 2 : CROSSING;
            long sent = now;
            at(now + oneWay, () -> target.accept(this, sent, oneWay));
        }

        void onAnswer(LoadReport report, boolean served, long sent) {
            NodeId node = report.guard();
            AttemptResult result = served ? AttemptResult.SUCCEEDED : AttemptResult.REFUSED;
            ingress.strategy().onEnded(node, result, now - sent, now);
            ingress.strategy().onReport(report, now);
            if (served) {
                late += now - arrived > OBJECTIVE ? 1 : 0;
                return;
            }
            excluded.add(node);
            if (excluded.size() < MAX_ATTEMPTS) {
                send();
            } else {
                refused++;
            }
        }
    }

    private final class Target {

        private final NodeId node;
        private final String dataCentre;
        private final List<Runnable> queue = new ArrayList<>();
        private int inFlight;
        private long sequence;

        Target(NodeId node, String dataCentre) {
            this.node = node;
            this.dataCentre = dataCentre;
        }

        void accept(Call call, long sent, long oneWay) {
            if (inFlight < SLOTS) {
                start(call, sent, oneWay);
            } else if (queue.size() < QUEUE) {
                queue.add(() -> start(call, sent, oneWay));
                queuedAtOnce.merge(dataCentre, queue.size(), Math::max);
            } else {
                answer(call, false, sent, oneWay);
            }
        }

        private void start(Call call, long sent, long oneWay) {
            inFlight++;
            double seconds = SERVICE_SECONDS * (0.5 + random.nextDouble());
            at(
                    now + (long) (seconds * SECOND),
                    () -> {
                        inFlight--;
                        if (!queue.isEmpty()) {
                            queue.remove(0).run();
                        }
                        answer(call, true, sent, oneWay);
                    });
        }

        private void answer(Call call, boolean served, long sent, long oneWay) {
            LoadReport report =
                    new LoadReport(
                            node,
                            1,
                            sequence++,
                            inFlight,
                            queue.size(),
                            SLOTS,
                            SLOTS,
                            (long) (SERVICE_SECONDS * 1_000_000),
                            0,
                            TargetState.WARM,
                            1.0,
                            0);
            at(now + oneWay, () -> call.onAnswer(report, served, sent));
        }
    }
}
