package org.dogwoodwood.core.quota;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.List;
import org.dogwoodwood.core.quota.QuotaNetwork.Node;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class QuotaTests {

    // Guards against asks that leave the data centre although each one stays within its slot.
    @ParameterizedTest
    @CsvSource({"91,4,300,300", "91,4,12,12", "83,3,60,30", "5,1,40,20"})
    void usualLoadIsNeverRefusedAndNeedsFewDistantMessages(
            int nodes, int dataCentres, double rate, int burst) {
        QuotaNetwork network = new QuotaNetwork(nodes, dataCentres, rate, burst);
        network.load(rate / 1.6, 20, network.all());
        network.run(21);
        assertThat(network.refused).isEmpty();
        assertThat(network.distantMessages).isLessThan(network.admitted.size() / 4);
    }

    // Guards against shares that are bound to nodes or data centres.
    @ParameterizedTest
    @CsvSource({"91,4,300,300", "91,4,5,5", "83,3,60,30", "1000,8,100,50"})
    void loadBelowTheLimitAtOneNodeIsNotRefused(
            int nodes, int dataCentres, double rate, int burst) {
        QuotaNetwork network = new QuotaNetwork(nodes, dataCentres, rate, burst);
        network.evenLoad(0.98 * rate, 15, List.of(network.all().get(nodes / 2)));
        network.run(16);
        assertThat(network.refused).isEmpty();
    }

    // Guards against tokens that stay where the load was.
    @ParameterizedTest
    @CsvSource({"91,4,300,300", "91,4,5,5", "83,3,60,30"})
    void loadThatMovesInAnInstantIsNotRefused(int nodes, int dataCentres, double rate, int burst) {
        QuotaNetwork network = new QuotaNetwork(nodes, dataCentres, rate, burst);
        for (int i = 0; i < 6; i++) {
            network.evenLoad(0.95 * rate, 4, network.in(i % dataCentres));
            network.run(4);
        }
        network.run(1);
        assertThat(network.refused).isEmpty();
    }

    // Guards against a burst that finds its tokens spread over the slots.
    @ParameterizedTest
    @CsvSource({"91,4,300,300", "91,4,5,5", "83,3,60,30"})
    void burstWithinTheLimitIsNotRefused(int nodes, int dataCentres, double rate, int burst) {
        QuotaNetwork network = new QuotaNetwork(nodes, dataCentres, rate, burst);
        network.evenLoad(burst * 1_000.0, 0.001, network.in(0));
        network.evenLoad(rate * 0.95, 10, network.in(1));
        network.run(11);
        assertThat(network.refused).isEmpty();
    }

    // Guards against a sum of tokens above the bound, and against a limit that isn't used.
    @ParameterizedTest
    @CsvSource({"91,4,300,300", "91,4,5,5", "83,3,60,30", "1000,8,100,50"})
    void hotAccountIsCutToTheLimit(int nodes, int dataCentres, double rate, int burst) {
        QuotaNetwork network = new QuotaNetwork(nodes, dataCentres, rate, burst);
        network.load(rate / 1.6, 10, network.all());
        network.run(10);
        network.load(3 * rate, 6, network.all());
        network.run(6);
        assertThat(network.busiestWindow()).isLessThanOrEqualTo(network.upperBound());
        long hot =
                network.admitted.stream().filter(t -> t > network.now() - 6_000_000_000L).count();
        assertThat(hot).isGreaterThan((long) (6 * rate * 0.97));
    }

    // Guards against two sides of a partition that both use the whole limit, and against a smaller
    // side without tokens.
    @ParameterizedTest
    @CsvSource({"91,4,300,300,6", "91,4,300,300,0", "91,4,20,20,6", "83,3,60,30,0"})
    void partitionOfAThirdKeepsTheBound(
            int nodes, int dataCentres, double rate, int burst, int secondsBefore) {
        QuotaNetwork network = new QuotaNetwork(nodes, dataCentres, rate, burst);
        network.run(5);
        network.load(3 * rate, 16 + secondsBefore, network.all());
        network.run(secondsBefore);
        network.connect((one, other) -> one.number() % 3 == 0 == (other.number() % 3 == 0));
        network.run(9);
        network.connect((one, other) -> true);
        network.run(8);
        assertThat(network.busiestWindow()).isLessThanOrEqualTo(network.upperBound());
    }

    // Guards against a smaller side of a partition that can't serve its usual load.
    @ParameterizedTest
    @CsvSource({"91,4,300,300", "91,4,20,20", "83,3,60,30"})
    void partitionOfAThirdServesTheUsualLoad(int nodes, int dataCentres, double rate, int burst) {
        QuotaNetwork network = new QuotaNetwork(nodes, dataCentres, rate, burst);
        network.evenLoad(rate / 1.6, 18, network.all());
        network.run(4);
        network.connect((one, other) -> one.number() % 3 == 0 == (other.number() % 3 == 0));
        network.run(8);
        network.connect((one, other) -> true);
        network.run(7);
        assertThat(network.busiestWindow()).isLessThanOrEqualTo(network.upperBound());
        assertThat(network.refused).isEmpty();
    }

    // Guards against a takeover that waits without tokens or grants them twice.
    @ParameterizedTest
    @CsvSource({"91,4,300,300", "91,4,5,5", "83,3,60,30", "6,1,40,20"})
    void killedCoordinatorDoesNotStopTheAccount(
            int nodes, int dataCentres, double rate, int burst) {
        QuotaNetwork network = new QuotaNetwork(nodes, dataCentres, rate, burst);
        Node coordinator = network.coordinators().get(0);
        List<Node> others = network.all().stream().filter(node -> node != coordinator).toList();
        network.evenLoad(rate / 1.6, 14, others);
        network.run(4);
        network.kill(List.of(coordinator));
        network.run(3);
        network.restart(List.of(coordinator));
        network.run(8);
        assertThat(network.refused).isEmpty();
    }

    // Guards against tokens of a coordinator that was paused while another one replaced it.
    @ParameterizedTest
    @CsvSource({"91,4,300,300", "91,4,5,5", "83,3,60,30", "6,1,40,20"})
    void failuresOfCoordinatorsKeepTheBound(int nodes, int dataCentres, double rate, int burst) {
        QuotaNetwork network = new QuotaNetwork(nodes, dataCentres, rate, burst);
        network.load(3 * rate, 40, network.all());
        network.run(6);
        network.coordinators().get(0).pause(0.7);
        network.run(6);
        network.coordinators().get(1).pause(4);
        network.run(8);
        Node killed = network.coordinators().get(0);
        network.kill(List.of(killed));
        network.run(2);
        network.restart(List.of(killed));
        network.run(8);
        for (int i = 0; i < 10; i++) {
            network.join();
        }
        network.run(10);
        assertThat(network.busiestWindow()).isLessThanOrEqualTo(network.upperBound());
    }

    // Guards against buckets that are full when many processes start.
    @ParameterizedTest
    @CsvSource({"91,4,300,300", "91,4,5,5", "83,3,60,30"})
    void restartOfAllNodesKeepsTheBound(int nodes, int dataCentres, double rate, int burst) {
        QuotaNetwork network = new QuotaNetwork(nodes, dataCentres, rate, burst);
        network.load(3 * rate, 8, network.all());
        network.run(4);
        network.restart(List.copyOf(network.all()));
        network.run(8);
        assertThat(network.busiestWindow()).isLessThanOrEqualTo(network.upperBound());
        int refusedBefore = network.refused.size();
        network.restart(List.copyOf(network.all()));
        network.evenLoad(rate / 1.6, 8, network.all());
        network.run(9);
        assertThat(network.refused).hasSize(refusedBefore);
    }

    // Guards against tokens of the old limit.
    @ParameterizedTest
    @CsvSource({"91,4,300,300,15,15", "83,3,60,30,5,5"})
    void lowerLimitIsKept(
            int nodes, int dataCentres, double rate, int burst, double newRate, int newBurst) {
        QuotaNetwork network = new QuotaNetwork(nodes, dataCentres, rate, burst);
        network.load(rate, 20, network.all());
        network.run(8);
        network.setLimit(newRate, newBurst);
        long inForce = network.now() + QuotaNetwork.SECOND;
        network.run(12);
        assertThat(network.busiestWindowSince(inForce + 5 * QuotaNetwork.SECOND))
                .isLessThanOrEqualTo(network.upperBound());
    }
}
