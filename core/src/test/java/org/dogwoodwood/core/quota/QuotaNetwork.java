package org.dogwoodwood.core.quota;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.stream.IntStream;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.quota.QuotaView.Members;

/** Nodes that exchange asks and loans of one account with delays, and the record of its calls. */
final class QuotaNetwork {

    static final long MILLI = 1_000_000L;
    static final long SECOND = 1_000 * MILLI;
    private static final String ACCOUNT = "account";
    private static final long ASK_TIMEOUT = 200 * MILLI;
    private static final long LOAN_TIMEOUT = 60 * MILLI;
    private static final long NOTICE = SECOND;

    private final SplittableRandom random = new SplittableRandom(7);
    private final PriorityQueue<Event> events =
            new PriorityQueue<>(Comparator.comparingLong(Event::time).thenComparing(Event::order));
    private final List<Node> nodes = new ArrayList<>();
    private final int dataCentres;
    private QuotaLimit limit;
    private BiPredicate<Node, Node> connected = (one, other) -> true;
    private long now = 100 * SECOND;
    private long order;
    final List<Long> admitted = new ArrayList<>();
    final List<Long> refused = new ArrayList<>();
    long distantMessages;
    long messages;

    QuotaNetwork(int nodeCount, int dataCentres, double callsPerSecond, int burst) {
        this.dataCentres = dataCentres;
        this.limit = new QuotaLimit(ACCOUNT, callsPerSecond, burst);
        IntStream.range(0, nodeCount).forEach(i -> nodes.add(new Node(i)));
        updateViews();
        run(2);
    }

    /** Sends calls at a rate to random nodes of a group from now on, with Poisson arrivals. */
    void load(double perSecond, double seconds, List<Node> group) {
        double at = now;
        while (true) {
            at += -Math.log(1 - random.nextDouble()) / perSecond * SECOND;
            if (at > now + seconds * SECOND) {
                return;
            }
            Node node = group.get(random.nextInt(group.size()));
            schedule((long) at, node::call);
        }
    }

    /** Sends evenly spaced calls, whose number in any period is that of the rate plus one. */
    void evenLoad(double perSecond, double seconds, List<Node> group) {
        for (int i = 0; i < perSecond * seconds; i++) {
            Node node = group.get(random.nextInt(group.size()));
            schedule(now + (long) (i / perSecond * SECOND), node::call);
        }
    }

    void run(double seconds) {
        long end = now + (long) (seconds * SECOND);
        while (!events.isEmpty() && events.peek().time() <= end) {
            Event event = events.remove();
            now = event.time();
            event.action().run();
        }
        now = end;
    }

    List<Node> all() {
        return nodes;
    }

    List<Node> in(int dataCentre) {
        return nodes.stream().filter(node -> node.dataCentre == dataCentre).toList();
    }

    /** Cuts the connections for which the predicate is false; views follow a second later. */
    void connect(BiPredicate<Node, Node> newConnected) {
        connected = newConnected;
        schedule(now + NOTICE, this::updateViews);
    }

    void setLimit(double callsPerSecond, int burst) {
        limit = new QuotaLimit(ACCOUNT, callsPerSecond, burst);
        schedule(now + NOTICE, this::updateViews);
    }

    void kill(List<Node> group) {
        group.forEach(node -> node.down = true);
        schedule(now + NOTICE, this::updateViews);
    }

    void restart(List<Node> group) {
        group.forEach(Node::restart);
        updateViews();
    }

    void join() {
        nodes.add(new Node(nodes.size()));
        schedule(now + NOTICE, this::updateViews);
    }

    /** Returns the coordinators of all slots according to the first node. */
    List<Node> coordinators() {
        return IntStream.range(0, nodes.get(0).view.slots(ACCOUNT))
                .mapToObj(slot -> nodes.get(0).view.coordinatorOf(new SlotId(ACCOUNT, slot)))
                .map(id -> node(id.orElseThrow()))
                .toList();
    }

    /** Returns the largest number of admitted calls in any window of 5 s. */
    int busiestWindow() {
        return busiestWindowSince(Long.MIN_VALUE);
    }

    int busiestWindowSince(long start) {
        List<Long> times = admitted.stream().filter(time -> time >= start).sorted().toList();
        int busiest = 0;
        int first = 0;
        for (int last = 0; last < times.size(); last++) {
            while (times.get(last) - times.get(first) > 5 * SECOND) {
                first++;
            }
            busiest = Math.max(busiest, last - first + 1);
        }
        return busiest;
    }

    int upperBound() {
        return (int) Math.floor((limit.callsPerSecond() * 5 + limit.burst()) * 1.1 + 20);
    }

    long now() {
        return now;
    }

    private void updateViews() {
        nodes.stream().filter(node -> !node.down).forEach(Node::updateView);
    }

    private void schedule(long time, Runnable action) {
        events.add(new Event(time, order++, action));
    }

    private Node node(NodeId id) {
        return nodes.stream().filter(node -> node.id.equals(id)).findFirst().orElseThrow();
    }

    /** Delivers a request and its answer; an answer that doesn't arrive is empty. */
    private void exchange(
            Node from,
            Optional<NodeId> to,
            long timeout,
            Consumer<Consumer<QuotaGrant>> request,
            Consumer<Optional<QuotaGrant>> listener) {
        boolean[] done = new boolean[1];
        Consumer<Optional<QuotaGrant>> once =
                answer -> {
                    if (!done[0] && !from.down) {
                        done[0] = true;
                        from.whenAwake(() -> listener.accept(answer));
                    }
                };
        if (to.isEmpty()) {
            schedule(now, () -> once.accept(Optional.empty()));
            return;
        }
        Node peer = node(to.get());
        boolean distant = from.dataCentre != peer.dataCentre;
        messages += from == peer ? 0 : 2;
        distantMessages += distant ? 2 : 0;
        long delay = from == peer ? 0 : distant ? 4 * MILLI : MILLI / 3;
        schedule(now + timeout, () -> once.accept(Optional.empty()));
        Consumer<QuotaGrant> reply =
                grant -> {
                    if (!peer.down && connected.test(from, peer)) {
                        schedule(now + delay, () -> once.accept(Optional.of(grant)));
                    }
                };
        schedule(
                now + delay,
                () -> {
                    if (!peer.down && connected.test(from, peer)) {
                        peer.whenAwake(() -> request.accept(reply));
                    }
                });
    }

    private record Event(long time, long order, Runnable action) {}

    /** A node with the decisions of its ingress and the slots that it coordinates. */
    final class Node {

        final int dataCentre;
        private final NodeId id;
        private final Set<NodeId> knownNodes = new HashSet<>();
        private IngressQuota ingress;
        private QuotaCoordinators coordinators;
        private QuotaView view;
        private boolean down;
        private long pausedUntil;

        Node(int number) {
            id = NodeId.of("node" + number);
            dataCentre = number % dataCentres;
            restart();
        }

        int number() {
            return Integer.parseInt(id.value().substring(4));
        }

        void pause(double seconds) {
            pausedUntil = now + (long) (seconds * SECOND);
        }

        private void whenAwake(Runnable action) {
            schedule(Math.max(now, pausedUntil), action);
        }

        private void restart() {
            down = false;
            ingress = IngressQuota.create(now);
            coordinators = QuotaCoordinators.create(this::sendLoan, now);
            QuotaCoordinators current = coordinators;
            schedule(now, () -> tick(current));
        }

        private void tick(QuotaCoordinators current) {
            if (current == coordinators && !down) {
                if (now >= pausedUntil) {
                    coordinators.tick(now);
                }
                schedule(Math.max(now, pausedUntil) + SECOND / 4, () -> tick(current));
            }
        }

        private void call() {
            if (down) {
                return;
            }
            whenAwake(
                    () -> {
                        ingress.decide(
                                now,
                                decision -> (decision.admitted() ? admitted : refused).add(now));
                        sendAsk();
                    });
        }

        private void sendAsk() {
            IngressQuota current = ingress;
            Optional<IngressQuota.Ask> next = ingress.nextAsk(now);
            if (next.isEmpty()) {
                return;
            }
            IngressQuota.Ask ask = next.get();
            SlotId slot = new SlotId(ACCOUNT, view.slotOrder(ACCOUNT).get(ask.slot()));
            Optional<NodeId> coordinator = view.coordinatorOf(slot);
            exchange(
                    this,
                    coordinator,
                    ASK_TIMEOUT,
                    reply ->
                            node(coordinator.get())
                                    .coordinators
                                    .ask(slot, ask.waiting(), ask.wished(), now, reply),
                    answer -> {
                        if (current == ingress) {
                            ingress.onAnswer(ask, answer, view.slots(ACCOUNT), now);
                            sendAsk();
                        }
                    });
        }

        private void sendLoan(SlotId borrower, SlotId lender, int missing, int wished) {
            Optional<NodeId> peer = view.coordinatorOf(lender);
            exchange(
                    this,
                    peer,
                    LOAN_TIMEOUT,
                    reply ->
                            reply.accept(
                                    node(peer.get())
                                            .coordinators
                                            .lend(lender, missing, wished, now)),
                    answer -> coordinators.onLoan(borrower, lender, answer, now));
        }

        private void updateView() {
            Map<String, Members> members = new TreeMap<>();
            for (int i = 0; i < dataCentres; i++) {
                Set<NodeId> reachable = new HashSet<>();
                Set<NodeId> known = new HashSet<>();
                for (Node other : in(i)) {
                    boolean visible = !other.down && connected.test(this, other);
                    if (visible) {
                        knownNodes.add(other.id);
                        reachable.add(other.id);
                    }
                    if (knownNodes.contains(other.id)) {
                        known.add(other.id);
                    }
                }
                members.put("dc" + i, new Members(reachable, reachable.size(), known.size()));
            }
            Map<String, QuotaLimit> limits = new HashMap<>();
            limits.put(ACCOUNT, limit);
            view = new QuotaView(id, "dc" + dataCentre, limits, members);
            coordinators.onView(view, now);
        }
    }
}
