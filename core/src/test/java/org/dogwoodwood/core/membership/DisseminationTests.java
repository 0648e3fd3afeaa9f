package org.dogwoodwood.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.dogwoodwood.core.model.NodeId;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Simulates the dissemination of one urgent update with the partial views and update queues of the
 * strategy. Nodes share one list of members, since full tables of 23,000 nodes do not fit into
 * memory.
 */
class DisseminationTests {

    private static final int ROUND_MILLIS = 250;
    private static final int UPDATE_BYTES = 60;

    /** Guards against an urgent update that takes more than 2 s to reach every member. */
    @ParameterizedTest
    @CsvSource({"12,3,0", "340,34,0", "3400,34,0", "23000,34,0", "23000,34,10"})
    void urgentUpdateReachesAllMembers(int size, int dataCentres, int lostPercent) {
        int worst = 0;
        for (long seed = 1; seed <= 5; seed++) {
            worst =
                    Math.max(
                            worst,
                            new Dissemination(size, dataCentres, lostPercent, seed)
                                    .roundsToReachAll());
        }
        System.out.printf(
                "dissemination: members=%d data_centres=%d lost_percent=%d rounds=%d ms=%d%n",
                size, dataCentres, lostPercent, worst, worst * ROUND_MILLIS);
        assertThat(worst * ROUND_MILLIS).isLessThanOrEqualTo(2_000);
    }

    private static final class Dissemination {
        private final int size;
        private final int dataCentres;
        private final int lostPercent;
        private final Random random;
        private final List<List<NodeId>> byDataCentre = new ArrayList<>();
        private final List<List<NodeId>> inOtherDataCentres = new ArrayList<>();
        private final List<PartialView> localViews = new ArrayList<>();
        private final List<PartialView> remoteViews = new ArrayList<>();
        private final List<UpdateQueue<String>> queues = new ArrayList<>();
        private final boolean[] hasUpdate;
        private int reached = 1;

        Dissemination(int size, int dataCentres, int lostPercent, long seed) {
            this.size = size;
            this.dataCentres = dataCentres;
            this.lostPercent = lostPercent;
            this.random = new Random(seed);
            this.hasUpdate = new boolean[size];
            for (int i = 0; i < dataCentres; i++) {
                byDataCentre.add(new ArrayList<>());
                inOtherDataCentres.add(new ArrayList<>());
            }
            for (int node = 0; node < size; node++) {
                NodeId id = NodeId.of(Integer.toString(node));
                for (int dataCentre = 0; dataCentre < dataCentres; dataCentre++) {
                    boolean inDataCentre = node % dataCentres == dataCentre;
                    (inDataCentre ? byDataCentre : inOtherDataCentres).get(dataCentre).add(id);
                }
                localViews.add(new PartialView(GossipStrategy.LOCAL_VIEW_SIZE));
                remoteViews.add(new PartialView(GossipStrategy.REMOTE_VIEW_SIZE));
                queues.add(new UpdateQueue<>());
            }
            hasUpdate[0] = true;
            queues.get(0).add("update");
        }

        int roundsToReachAll() {
            // Fills the views, as on nodes that have been running for some time.
            for (int node = 0; node < size; node++) {
                selectPeers(node);
            }
            int rounds = 0;
            while (reached < size && rounds < 100) {
                rounds++;
                List<Integer> newlyReached = new ArrayList<>();
                for (int node = 0; node < size; node++) {
                    for (NodeId peer : selectPeers(node)) {
                        exchange(node, Integer.parseInt(peer.value()), newlyReached);
                    }
                }
                // Nodes forward the update only from the next round on, which is the slowest case.
                newlyReached.forEach(node -> queues.get(node).add("update"));
            }
            return rounds;
        }

        private List<NodeId> selectPeers(int node) {
            int dataCentre = node % dataCentres;
            NodeId self = NodeId.of(Integer.toString(node));
            localViews
                    .get(node)
                    .refresh(byDataCentre.get(dataCentre), id -> !id.equals(self), random);
            remoteViews.get(node).refresh(inOtherDataCentres.get(dataCentre), id -> true, random);
            List<NodeId> chosen =
                    new ArrayList<>(localViews.get(node).next(GossipRound.FULL.localPeers()));
            chosen.addAll(remoteViews.get(node).next(GossipRound.FULL.remotePeers()));
            return chosen;
        }

        private void exchange(int from, int to, List<Integer> newlyReached) {
            if (from == to || random.nextInt(100) < lostPercent) {
                return;
            }
            send(from, to, newlyReached);
            send(to, from, newlyReached);
        }

        private void send(int from, int to, List<Integer> newlyReached) {
            boolean sent =
                    !queues.get(from)
                            .take(GossipStrategy.MAX_UPDATE_BYTES, key -> UPDATE_BYTES, size)
                            .isEmpty();
            if (sent && !hasUpdate[to]) {
                hasUpdate[to] = true;
                reached++;
                newlyReached.add(to);
            }
        }
    }
}
