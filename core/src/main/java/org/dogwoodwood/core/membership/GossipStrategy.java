package org.dogwoodwood.core.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.IntFunction;
import java.util.random.RandomGenerator;
import org.dogwoodwood.core.model.NodeId;

/**
 * Selects the peers that a node exchanges gossip with and composes its messages. Not thread-safe.
 *
 * <p>Updates spread by push and pull (Demers et al. 1987): requests and replies carry recent
 * updates, the least often sent first. Digests find differences that remain nevertheless.
 *
 * <p>Bytes between data centres are expensive. Unless a round is {@link GossipRound#FULL}, only a
 * few nodes of a data centre contact other ones, and messages to other data centres carry recent
 * updates about members of the sender's data centre only.
 */
public final class GossipStrategy {

    /** The largest encoded size of the updates of one message, in bytes. */
    public static final int MAX_UPDATE_BYTES = 1_200;

    static final int LOCAL_VIEW_SIZE = 8;
    static final int REMOTE_VIEW_SIZE = 4;

    /** How many nodes of a data centre contact another one in a round that shares contacts. */
    static final int SHARED_REMOTE_CONTACTS = 3;

    // In one full round every member of a data centre contacts another data centre; the second one
    // covers lost messages.
    private static final int URGENT_ROUNDS = 2;
    private static final int VIEW_ROTATION_ROUNDS = 20;
    private static final int DEAD_PROBE_ROUNDS = 8;

    private final MembershipTable table;
    private final DataCentreOrders orders;
    private final RandomGenerator random;
    private final PartialView localView = new PartialView(LOCAL_VIEW_SIZE);
    private final PartialView remoteView = new PartialView(REMOTE_VIEW_SIZE);
    private final UpdateQueue<String> orderQueue = new UpdateQueue<>();
    private final UpdateQueue<NodeId> memberQueue = new UpdateQueue<>();
    private final RemoteUpdates remoteUpdates = RemoteUpdates.create();
    private final CrashGossip crashGossip = new CrashGossip();
    private final TargetLeaves leaves = TargetLeaves.create();
    private List<NodeId> localNodes = List.of();
    private List<NodeId> remoteNodes = List.of();
    private List<NodeId> deadNodes = List.of();
    private long indexedChangeCount = -1;
    private long round;
    private int urgentRounds;
    private long configurationVersion;
    private long configurationHash;

    private GossipStrategy(MembershipTable table, DataCentreOrders orders, RandomGenerator random) {
        this.table = table;
        this.orders = orders;
        this.random = random;
    }

    /**
     * Creates a strategy for the state of a node. The caller must pass each changed entry of the
     * table to {@link #onMemberChanged}.
     *
     * @param table the membership table, not null
     * @param orders the data centre orders, not null
     * @param random the source of randomness, not null
     */
    public static GossipStrategy create(
            MembershipTable table, DataCentreOrders orders, RandomGenerator random) {
        return new GossipStrategy(table, orders, random);
    }

    /** Queues a changed entry for dissemination. */
    public void onMemberChanged(Member member) {
        memberQueue.add(member.node());
        crashGossip.onMemberChanged(member);
        boolean local = isLocal(member.address().dataCentre());
        if (local) {
            remoteUpdates.add(member.node(), round);
        }
        boolean unreachable = !local && member.liveness() == Liveness.SUSPECT;
        if (unreachable || member.state() == MemberState.LEAVING) {
            urgentRounds = URGENT_ROUNDS;
        }
    }

    /** Queues the order in force for a data centre for dissemination. */
    public void onOrderChanged(String dataCentre) {
        orderQueue.add(dataCentre);
    }

    /**
     * Queues a crash report for dissemination; ignored if the store of reports is full.
     *
     * @return whether the report was added
     */
    public boolean onCrashReport(CrashReport report, long nowNanos) {
        return crashGossip.add(report, nowNanos);
    }

    /** Returns the leaves of targets that messages spread. */
    public TargetLeaves leaves() {
        return leaves;
    }

    /** Removes crash reports that were observed before the given time. */
    public void removeCrashReports(long olderThanNanos) {
        crashGossip.remove(olderThanNanos);
    }

    /** Sets the configuration version and document hash that messages announce. */
    public void onConfiguration(long version, long hash) {
        configurationVersion = version;
        configurationHash = hash;
    }

    /** Starts a full round and returns the members to exchange gossip with. */
    public List<Member> selectPeers() {
        return selectPeers(GossipRound.FULL);
    }

    /**
     * Starts a round and returns the members to exchange gossip with: those that the round contacts
     * and, every eighth round, also one dead member, to detect a healed partition.
     */
    public List<Member> selectPeers(GossipRound kind) {
        refreshIndex();
        round++;
        if (kind == GossipRound.FULL && urgentRounds > 0) {
            urgentRounds--;
        }
        if (round % VIEW_ROTATION_ROUNDS == 0) {
            localView.removeRandom(random);
            remoteView.removeRandom(random);
        }
        localView.refresh(localNodes, this::isPresent, random);
        remoteView.refresh(remoteNodes, this::isPresent, random);
        List<NodeId> chosen = new ArrayList<>(localView.next(kind.localPeers()));
        chosen.addAll(remoteView.next(remoteCount(kind, chosen.size())));
        if (round % DEAD_PROBE_ROUNDS == 0 && !deadNodes.isEmpty()) {
            chosen.add(deadNodes.get(random.nextInt(deadNodes.size())));
        }
        return chosen.stream().map(table::find).flatMap(Optional::stream).toList();
    }

    /**
     * Selects members that can probe another member indirectly.
     *
     * @param subject the member to be probed, which is never selected
     * @param count the maximum number of members to select
     */
    public List<Member> selectIndirectProbers(NodeId subject, int count) {
        refreshIndex();
        List<NodeId> candidates = new ArrayList<>(localNodes);
        boolean enough = localNodes.contains(subject) && localNodes.size() > count;
        if (!enough) {
            candidates.addAll(remoteNodes);
        }
        List<Member> probers = new ArrayList<>();
        for (int i = 0; i < 4 * count && probers.size() < count && !candidates.isEmpty(); i++) {
            NodeId candidate = candidates.get(random.nextInt(candidates.size()));
            Optional<Member> member = table.find(candidate);
            if (!candidate.equals(subject)
                    && member.isPresent()
                    && member.get().liveness() == Liveness.ALIVE
                    && !probers.contains(member.get())) {
                probers.add(member.get());
            }
        }
        return probers;
    }

    /** Composes the request of an exchange with a peer whose data centre is unknown. */
    public GossipMessage request(long nowNanos) {
        return compose(Optional.empty(), List.of(), List.of(), takesOf(memberQueue), nowNanos);
    }

    /**
     * Composes the request of an exchange. A peer that this node takes for suspect or dead is told
     * so in any case, since it can refute it only then.
     *
     * @param peer the entry of the peer in the table, not null
     * @param nowNanos the current time in nanoseconds
     */
    public GossipMessage request(Member peer, long nowNanos) {
        List<LivenessUpdate> observed =
                peer.liveness() == Liveness.ALIVE ? List.of() : List.of(peer.livenessUpdate());
        return compose(
                Optional.of(peer.node()),
                List.of(),
                observed,
                takesFor(peer.address().dataCentre()),
                nowNanos);
    }

    /**
     * Applies a request and returns the reply, with entries that the sender lacks or has outdated.
     *
     * @param request the message of the sender, not null
     * @param nowNanos the current time in nanoseconds
     */
    public GossipMessage reply(GossipMessage request, long nowNanos) {
        List<Member> newer = new ArrayList<>();
        List<LivenessUpdate> livenessUpdates = new ArrayList<>();
        receive(request, nowNanos);
        addCorrection(request.sender(), newer, livenessUpdates);
        request.members().forEach(member -> addCorrection(member, newer, livenessUpdates));
        if (request.ordersHash() != orders.hash()) {
            orders.all().forEach(order -> orderQueue.add(order.dataCentre()));
        }
        for (Member member : request.digest().differingMembers(table)) {
            if (!newer.contains(member)) {
                newer.add(member);
            }
        }
        String peerDataCentre = request.sender().address().dataCentre();
        return compose(
                Optional.of(request.sender().node()),
                newer,
                livenessUpdates,
                takesFor(peerDataCentre),
                nowNanos);
    }

    /**
     * Applies a received message.
     *
     * @param message the message, not null
     * @param nowNanos the current time in nanoseconds
     */
    public void receive(GossipMessage message, long nowNanos) {
        table.merge(message.sender(), nowNanos);
        message.members().forEach(member -> table.merge(member, nowNanos));
        message.livenessUpdates().forEach(update -> table.merge(update, nowNanos));
        for (DataCentreOrder order : message.orders()) {
            if (orders.merge(order)) {
                onOrderChanged(order.dataCentre());
            }
        }
        message.crashReports().forEach(report -> onCrashReport(report, nowNanos));
        message.leaves().forEach(leave -> leaves.add(leave, nowNanos));
    }

    /** Returns what waits to be spread. */
    public GossipNews news() {
        if (urgentRounds > 0 || orderQueue.size() > 0 || !crashGossip.isEmpty()) {
            return GossipNews.URGENT;
        }
        boolean ordinary = memberQueue.size() > 0 || leaves.isSpreading();
        return ordinary ? GossipNews.ORDINARY : GossipNews.NONE;
    }

    private int remoteCount(GossipRound kind, int localCount) {
        if (localNodes.isEmpty() || !kind.sharesRemotePeers()) {
            // Without enough peers in its own data centre, a node selects more in others.
            return kind.localPeers() + kind.remotePeers() - localCount;
        }
        boolean contacts = random.nextInt(localNodes.size() + 1) < SHARED_REMOTE_CONTACTS;
        return contacts ? kind.remotePeers() : 0;
    }

    private boolean isLocal(String dataCentre) {
        return dataCentre.equals(table.self().address().dataCentre());
    }

    private IntFunction<List<NodeId>> takesFor(String dataCentre) {
        return isLocal(dataCentre)
                ? takesOf(memberQueue)
                : budgetBytes -> remoteUpdates.take(budgetBytes, this::memberBytes, round);
    }

    private IntFunction<List<NodeId>> takesOf(UpdateQueue<NodeId> queue) {
        return budgetBytes -> queue.take(budgetBytes, this::memberBytes, table.size());
    }

    private void addCorrection(
            Member received, List<Member> newer, List<LivenessUpdate> livenessUpdates) {
        Optional<Member> known = table.find(received.node());
        if (known.isEmpty() || !known.get().supersedes(received)) {
            return;
        }
        boolean sameVersion =
                known.get().incarnation() == received.incarnation()
                        && known.get().version() == received.version();
        if (sameVersion) {
            livenessUpdates.add(known.get().livenessUpdate());
        } else {
            newer.add(known.get());
        }
    }

    private GossipMessage compose(
            Optional<NodeId> addressee,
            List<Member> corrections,
            List<LivenessUpdate> livenessCorrections,
            IntFunction<List<NodeId>> takes,
            long nowNanos) {
        ByteBudget budget = new ByteBudget(MAX_UPDATE_BYTES);
        List<LivenessUpdate> livenessUpdates = new ArrayList<>();
        livenessCorrections.stream()
                .filter(v -> budget.tryReserve(v.encodedBytes()))
                .forEach(livenessUpdates::add);
        List<DataCentreOrder> sentOrders =
                orderQueue.take(budget.remaining, this::orderBytes, table.size()).stream()
                        .map(orders::find)
                        .flatMap(Optional::stream)
                        .toList();
        sentOrders.forEach(order -> budget.tryReserve(order.encodedBytes()));
        List<KnownLeave> sentLeaves =
                leaves.take(addressee, budget.remaining / 2, table.size(), nowNanos);
        sentLeaves.forEach(leave -> budget.tryReserve(leave.leave().encodedBytes()));
        List<CrashReport> reports = takeCrashReports(budget, nowNanos);
        List<Member> members = new ArrayList<>();
        // Reserves half of the remaining bytes for recent updates if a digest shows many
        // differences.
        ByteBudget correctionBudget = new ByteBudget(budget.remaining / 2);
        corrections.stream()
                .filter(m -> correctionBudget.tryReserve(m.encodedBytes()))
                .forEach(members::add);
        members.forEach(member -> budget.tryReserve(member.encodedBytes()));
        takeMembers(takes.apply(budget.remaining), members, livenessUpdates);
        return new GossipMessage(
                table.self(),
                TableDigest.random(table, random),
                orders.hash(),
                configurationVersion,
                configurationHash,
                members,
                livenessUpdates,
                sentOrders,
                reports,
                sentLeaves);
    }

    private List<CrashReport> takeCrashReports(ByteBudget budget, long nowNanos) {
        List<CrashReport> reports = crashGossip.take(budget.remaining / 2, table.size(), nowNanos);
        reports.forEach(report -> budget.tryReserve(report.encodedBytes()));
        return reports;
    }

    private void takeMembers(
            List<NodeId> taken, List<Member> members, List<LivenessUpdate> livenessUpdates) {
        for (NodeId node : taken) {
            Member member = table.find(node).orElseThrow();
            if (member.liveness() != Liveness.ALIVE) {
                livenessUpdates.add(member.livenessUpdate());
            } else if (!member.equals(table.self()) && !members.contains(member)) {
                members.add(member);
            }
        }
    }

    private int memberBytes(NodeId node) {
        return table.find(node)
                .map(
                        member ->
                                member.liveness() == Liveness.ALIVE
                                        ? member.encodedBytes()
                                        : member.livenessUpdate().encodedBytes())
                .orElse(0);
    }

    private int orderBytes(String dataCentre) {
        return orders.find(dataCentre).map(DataCentreOrder::encodedBytes).orElse(0);
    }

    private boolean isPresent(NodeId node) {
        return table.find(node).filter(Member::isPresent).isPresent();
    }

    private void refreshIndex() {
        if (indexedChangeCount == table.changeCount()) {
            return;
        }
        indexedChangeCount = table.changeCount();
        List<NodeId> newLocal = new ArrayList<>();
        List<NodeId> newRemote = new ArrayList<>();
        List<NodeId> newDead = new ArrayList<>();
        String ownDataCentre = table.self().address().dataCentre();
        for (Member member : table.members()) {
            if (member.liveness() == Liveness.DEAD) {
                newDead.add(member.node());
            } else if (member.isPresent() && !member.node().equals(table.self().node())) {
                boolean inOwnDataCentre = member.address().dataCentre().equals(ownDataCentre);
                (inOwnDataCentre ? newLocal : newRemote).add(member.node());
            }
        }
        localNodes = newLocal;
        remoteNodes = newRemote;
        deadNodes = newDead;
    }

    private static final class ByteBudget {
        private int remaining;

        private ByteBudget(int remaining) {
            this.remaining = remaining;
        }

        private boolean tryReserve(int bytes) {
            if (bytes > remaining) {
                return false;
            }
            remaining -= bytes;
            return true;
        }
    }
}
