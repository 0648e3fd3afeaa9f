package org.dogwoodwood.core.membership;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Test;

class DataCentreOrdersTests {

    /** Guards against a result that depends on the order of delivery or on duplicates. */
    @Test
    void mergeIsIndependentOfOrderAndDuplicates() {
        Random random = new Random(3);
        List<DataCentreOrder> sent = new ArrayList<>();
        for (int i = 0; i < 30; i++) {
            DataCentreOrder.State state =
                    random.nextBoolean() ? DataCentreOrder.State.OUT : DataCentreOrder.State.IN;
            String dataCentre = "dc-" + random.nextInt(2);
            sent.add(new DataCentreOrder(dataCentre, random.nextInt(4), state, "id-" + i));
        }
        List<DataCentreOrder> expected = merge(sent);
        for (int trial = 0; trial < 100; trial++) {
            Collections.shuffle(sent, random);
            sent.add(sent.get(0));
            assertThat(merge(sent)).isEqualTo(expected);
        }
    }

    /** Guards against a tie after which a data centre that was taken out receives work. */
    @Test
    void outWinsTie() {
        DataCentreOrders orders = DataCentreOrders.create();
        orders.merge(new DataCentreOrder("north", 2, DataCentreOrder.State.OUT, "a"));
        orders.merge(new DataCentreOrder("north", 2, DataCentreOrder.State.IN, "b"));
        assertThat(orders.isOut("north")).isTrue();
    }

    /**
     * Guards against a repeated request that increases the counter and so overrides a later order.
     */
    @Test
    void repeatedOrderKeepsItsCounter() {
        DataCentreOrders orders = DataCentreOrders.create();
        DataCentreOrder first = orders.issue("north", DataCentreOrder.State.OUT, "a");
        assertThat(orders.issue("north", DataCentreOrder.State.OUT, "a")).isEqualTo(first);
        assertThat(orders.issue("north", DataCentreOrder.State.IN, "b").counter()).isEqualTo(2);
    }

    /** Guards against a withdrawn order that comes into force again from an outdated peer. */
    @Test
    void snapshotWithdrawsOrdersThatItLacks() {
        DataCentreOrder outdated = out("north", 5, "operator");
        DataCentreOrders orders = DataCentreOrders.create();
        orders.merge(outdated);
        List<String> changed =
                orders.merge(
                        new OrderSnapshot(9, "operator", List.of(out("south", 7, "operator"))));
        assertThat(changed).containsExactlyInAnyOrder("north", "south");
        assertThat(orders.isOut("north")).isFalse();
        assertThat(orders.isOut("south")).isTrue();

        DataCentreOrders restarted = DataCentreOrders.create();
        restarted.merge(new OrderSnapshot(9, "operator", List.of()));
        restarted.merge(outdated);
        assertThat(restarted.isOut("north")).isFalse();
        assertThat(restarted.all().get(0).supersedes(outdated)).isTrue();
    }

    /** Guards against a snapshot that undoes newer orders or orders of another source. */
    @Test
    void snapshotKeepsNewerAndOtherOrders() {
        DataCentreOrders orders = DataCentreOrders.create();
        orders.merge(out("north", 10, "operator"));
        orders.merge(out("south", 2, "tool-1"));
        orders.merge(new OrderSnapshot(9, "operator", List.of()));
        orders.merge(new OrderSnapshot(8, "operator", List.of(out("east", 4, "operator"))));
        assertThat(orders.isOut("north")).isTrue();
        assertThat(orders.isOut("south")).isTrue();
        assertThat(orders.isOut("east")).isFalse();
    }

    private static DataCentreOrder out(String dataCentre, long counter, String orderId) {
        return new DataCentreOrder(dataCentre, counter, DataCentreOrder.State.OUT, orderId);
    }

    private static List<DataCentreOrder> merge(List<DataCentreOrder> sent) {
        DataCentreOrders orders = DataCentreOrders.create();
        sent.forEach(orders::merge);
        return orders.all();
    }
}
