package org.dogwoodwood.node.control;

import java.util.List;
import java.util.function.Consumer;
import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.core.membership.DataCentreOrders;
import org.dogwoodwood.core.membership.GossipStrategy;
import org.dogwoodwood.core.membership.MembershipTable;
import org.dogwoodwood.core.membership.OrderSnapshot;
import org.dogwoodwood.core.membership.SourceReaders;

/**
 * Applies what the source of the operators' configurations publishes, and tells the other members
 * whether this node can read the source; used on the control thread.
 */
final class SourceFollower implements ConfigurationSource.Listener {

    private final MembershipTable table;
    private final DataCentreOrders orders;
    private final GossipStrategy strategy;
    private final ConfigurationManager configurationManager;
    private final SourceReaders sourceReaders;
    private final Consumer<OrderOrigin> orderListener;
    private final Runnable readListener;

    /**
     * Creates a follower.
     *
     * @param orderListener receives the origin of orders that have come into force
     * @param readListener runs after each successful read
     */
    SourceFollower(
            MembershipTable table,
            DataCentreOrders orders,
            GossipStrategy strategy,
            ConfigurationManager configurationManager,
            Consumer<OrderOrigin> orderListener,
            Runnable readListener) {
        this.table = table;
        this.orders = orders;
        this.strategy = strategy;
        this.configurationManager = configurationManager;
        this.sourceReaders = SourceReaders.of(table);
        this.orderListener = orderListener;
        this.readListener = readListener;
    }

    @Override
    public void onConfiguration(long version, String document) {
        configurationManager.onExternalPublication(version, document);
    }

    @Override
    public void onOrder(DataCentreOrder order) {
        if (orders.merge(order)) {
            strategy.onOrderChanged(order.dataCentre());
            orderListener.accept(OrderOrigin.OPERATORS);
        }
    }

    @Override
    public void onOrders(OrderSnapshot snapshot) {
        List<String> changed = orders.merge(snapshot);
        changed.forEach(strategy::onOrderChanged);
        if (!changed.isEmpty()) {
            orderListener.accept(OrderOrigin.OPERATORS);
        }
    }

    @Override
    public void onRead() {
        readListener.run();
    }

    @Override
    public boolean readsForOthers() {
        return sourceReaders.includesSelf(System.nanoTime());
    }

    /** Announces whether the source can be read, and tells the source that members may differ. */
    void onRound(ConfigurationSource source) {
        boolean reachable = source.isReachable();
        if (table.self().readsSource() != reachable) {
            table.updateSelf(table.self().withReadsSource(reachable), System.nanoTime());
        }
        source.onMembersChanged();
    }
}
