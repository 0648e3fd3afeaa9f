package org.dogwoodwood.node.control;

import java.util.List;
import org.dogwoodwood.core.membership.DataCentreOrder;

/** Where a node reads the operators' configurations; used on the control thread. */
public interface ConfigurationSource {

    /** Is told of what operators have published, on the control thread. */
    interface Listener {

        /**
         * Takes in a configuration that operators have published.
         *
         * @param version its version; one below the version in force has no effect
         * @param document the JSON document of the configuration, not null
         */
        void onConfiguration(long version, String document);

        /** Takes in orders about data centres; those that are superseded have no effect. */
        void onOrders(List<DataCentreOrder> orders);

        /** Takes in that a read succeeded or failed. */
        void onRead();

        /** Returns how many members tell each other what they have read, this node included. */
        int members();
    }

    /** Starts to read. */
    void start();

    /** Stops to read. */
    void stop();

    /** Returns whether everything that was published was read at least once. */
    boolean isCaughtUp();

    /** Returns whether the last read succeeded, or one that waits is not overdue. */
    boolean isReachable();

    /** Returns the offset to read next. */
    long nextOffset();
}
