package org.dogwoodwood.node.control;

import java.util.List;
import org.dogwoodwood.core.membership.DataCentreOrder;

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

        /** Handles orders about data centres; superseded orders have no effect. */
        void onOrders(List<DataCentreOrder> orders);

        /** Called after a successful read. */
        void onRead();

        /** Returns the number of members that exchange what they have read, including this node. */
        int memberCount();
    }

    /** Starts reading. */
    void start();

    /** Stops reading. */
    void stop();

    /** Returns whether the source has been read to its end at least once. */
    boolean isCaughtUp();

    /** Returns whether the last read succeeded and the pending one is not overdue. */
    boolean isReachable();

    /** Returns the offset to read next. */
    long nextOffset();
}
