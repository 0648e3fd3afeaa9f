package org.dogwoodwood.faults.simulation;

import static org.assertj.core.api.Assertions.assertThat;
import static org.dogwoodwood.faults.simulation.EventLoop.MILLISECOND;
import static org.dogwoodwood.faults.simulation.EventLoop.SECOND;

import java.util.List;
import java.util.Optional;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.faults.simulation.Event.Disruption;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Verifies that a call runs at most once when the caller repeats it with the same key, under each
 * kind of fault.
 */
class AtMostOnceScenarioTests {

    private static final String KEY = "deposit-17";
    private static final long SLOWDOWN_FACTOR = 40;

    private final SimulatedCluster cluster = SimulatedCluster.create(5, new Policies());
    private NodeId owner;
    private NodeId nonOwner;
    // Above all numbers of the simulated callers, which send repetitions of their own.
    private long lastNumber = 1_000_000;

    @BeforeEach
    void startNodes() {
        cluster.startNode("a1", "a");
        cluster.startNode("b1", "b");
        cluster.startNode("c1", "c");
        cluster.startNode("c2", "c");
        runFor(5 * SECOND);
        owner = ownerSeenBy("a1");
        nonOwner =
                List.of("a1", "b1", "c1").stream()
                        .map(NodeId::of)
                        .filter(node -> !node.equals(owner))
                        .findFirst()
                        .orElseThrow();
    }

    @Test
    void repetitionIsRefusedWhileFirstRequestRuns() {
        cluster.target(owner).setSlowdownFactor((int) SLOWDOWN_FACTOR);
        send(nonOwner);
        runFor(100 * MILLISECOND);
        long repeated = send(owner);
        runFor(50 * MILLISECOND);
        assertRefused(repeated, ErrorCode.KEY_IN_PROGRESS);
        assertExecutions(1);
    }

    @Test
    void repetitionReceivesKeptAnswer() {
        send(nonOwner);
        runFor(SECOND);
        long repeated = send(owner);
        runFor(SECOND);
        assertAnswered(repeated);
        assertExecutions(1);
    }

    @Test
    void repetitionReceivesKeptAnswerAfterIngressCrash() {
        send(nonOwner);
        runFor(5 * MILLISECOND);
        cluster.crashNode(nonOwner);
        runFor(SECOND);
        long repeated = send(owner);
        runFor(SECOND);
        assertAnswered(repeated);
        assertExecutions(1);
    }

    @Test
    void repetitionIsInDoubtAfterOwnerCrash() {
        send(nonOwner);
        runFor(5 * MILLISECOND);
        cluster.crashNode(owner);
        runFor(3 * SECOND);
        long repeated = send(nonOwner);
        runFor(SECOND);
        assertRefused(repeated, ErrorCode.KEY_IN_DOUBT);
        assertExecutions(1);
    }

    @Test
    void keyRunsAgainOnlyAfterWindowWhenOwnerVmIsLost() {
        send(nonOwner);
        runFor(5 * MILLISECOND);
        cluster.loseVm(owner, 60 * SECOND);
        long tooEarly = 0;
        for (int i = 0; i < 5; i++) {
            runFor(SECOND);
            tooEarly = send(nonOwner);
            runFor(100 * MILLISECOND);
            assertThat(outcomeOf(tooEarly)).isNotEqualTo(Optional.of(Outcome.ANSWERED));
        }
        assertExecutions(1);
        runFor(10 * SECOND);
        long afterTheWindow = send(nonOwner);
        runFor(SECOND);
        assertAnswered(afterTheWindow);
    }

    @Test
    void keptAnswerIsHandedOverOnGracefulLeaveAndReturn() {
        send(nonOwner);
        runFor(SECOND);
        cluster.replaceNode(owner);
        runFor(SECOND);
        assertThat(ownerSeenBy(nonOwner.value())).isNotEqualTo(owner);
        long repeated = send(nonOwner);
        runFor(SECOND);
        assertAnswered(repeated);
        runFor(2 * SECOND);
        assertThat(ownerSeenBy(nonOwner.value())).isEqualTo(owner);
        long afterReturn = send(nonOwner);
        runFor(SECOND);
        assertAnswered(afterReturn);
        assertExecutions(1);
    }

    @Test
    void repetitionReceivesKeptAnswerDuringLogOutage() {
        cluster.disrupt(Disruption.LOG, "down", 20 * SECOND, cluster.log()::setDown);
        runFor(4 * SECOND);
        long first = send(nonOwner);
        runFor(SECOND);
        long repeated = send(nonOwner);
        runFor(SECOND);
        assertAnswered(first);
        assertAnswered(repeated);
        assertExecutions(1);
    }

    @Test
    void keyRunsNowhereDuringPartitionAndLogOutage() {
        String isolated = cluster.network().dataCentreOf(owner);
        cluster.disrupt(Disruption.LOG, "down", 20 * SECOND, cluster.log()::setDown);
        cluster.disrupt(
                Disruption.PARTITION,
                isolated,
                10 * SECOND,
                started -> cluster.network().setIsolated(isolated, started));
        runFor(4 * SECOND);
        long atOwner = send(owner);
        runFor(3 * SECOND);
        assertRefused(atOwner, ErrorCode.KEY_NOT_OWNED);
        long elsewhere = send(nonOwner);
        runFor(3 * SECOND);
        assertThat(outcomeOf(elsewhere)).isNotEqualTo(Optional.of(Outcome.ANSWERED));
        assertExecutions(0);
    }

    @Test
    void keyRunsAtMostOnceWhileOwnerIsPaused() {
        cluster.node(owner).orElseThrow().pause(6 * SECOND);
        long first = send(nonOwner);
        runFor(5 * SECOND);
        long repeated = send(nonOwner);
        runFor(10 * SECOND);
        assertThat(outcomeOf(first)).isNotEqualTo(Optional.of(Outcome.ANSWERED));
        assertThat(outcomeOf(repeated)).isPresent();
        assertThat(executions()).isLessThanOrEqualTo(1);
    }

    private NodeId ownerSeenBy(String node) {
        return cluster.node(NodeId.of(node))
                .orElseThrow()
                .control()
                .ownership()
                .currentView()
                .flatMap(view -> view.ownerOf(SimulatedCluster.SERVICE, KEY))
                .map(RegisteredMember::node)
                .orElseThrow();
    }

    private long send(NodeId ingress) {
        Request request =
                new Request(++lastNumber, false, Optional.of(KEY), 99, Callers.TIMEOUT_NANOS);
        cluster.callers().submit(request, cluster.node(ingress).orElseThrow());
        return lastNumber;
    }

    private void runFor(long nanos) {
        cluster.loop().runUntil(cluster.loop().now() + nanos);
    }

    private Optional<Event.ResponseReceived> answerTo(long request) {
        return cluster.journal()
                .of(Event.ResponseReceived.class)
                .filter(answer -> answer.request() == request)
                .findFirst();
    }

    private Optional<Outcome> outcomeOf(long request) {
        return answerTo(request).map(Event.ResponseReceived::outcome);
    }

    private void assertAnswered(long request) {
        assertThat(answerTo(request).flatMap(Event.ResponseReceived::body))
                .contains("answer to key " + KEY);
    }

    private void assertRefused(long request, ErrorCode code) {
        assertThat(answerTo(request).flatMap(Event.ResponseReceived::error)).contains(code);
        assertThat(outcomeOf(request)).contains(Outcome.NOT_RUN);
    }

    private void assertExecutions(long expected) {
        assertThat(executions()).isEqualTo(expected);
    }

    private long executions() {
        return cluster.journal().of(Event.ExecutionStarted.class).count();
    }
}
