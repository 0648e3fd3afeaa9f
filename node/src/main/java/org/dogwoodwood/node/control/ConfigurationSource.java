package org.dogwoodwood.node.control;

import org.dogwoodwood.core.membership.DataCentreOrder;
import org.dogwoodwood.core.membership.OrderSnapshot;

/** The source of the operators' configurations; used on the control thread. */
public interface ConfigurationSource {

    /** Receives what operators have published, on the control thread. */
    interface Listener {

        /**
         * Handles a configuration that operators have published.
         *
         * @param version its version; one below the version in force has no effect
         * @param document the JSON document of the configuration, not null
         */
        void onConfiguration(long version, String document);

        /** Handles a new order about a data centre; a superseded order has no effect. */
        void onOrder(DataCentreOrder order);

        /** Handles all orders that the source holds; orders that it lacks are withdrawn. */
        void onOrders(OrderSnapshot snapshot);

        /** Called after a successful read. */
        void onRead();

        /**
         * Returns whether this node reads the source at short intervals, on behalf of the others.
         */
        boolean readsForOthers();
    }

    /** Starts reading. */
    void start();

    /** Stops reading. */
    void stop();

    /** Called when it may have changed which members read the source on behalf of the others. */
    void onMembersChanged();

    /** Returns whether the source has been read to its end at least once. */
    boolean isCaughtUp();

    /** Returns whether the last read succeeded and the pending one is not overdue. */
    boolean isReachable();

    /** Returns the offset to read next. */
    long nextOffset();

    /**
     * Returns whether an order came from this source, which holds it until it is withdrawn. Copies
     * of such an order on the platform log may be outdated and are not used.
     */
    boolean holds(DataCentreOrder order);
}
