package org.dogwoodwood.codec.wire;

import java.util.List;
import org.dogwoodwood.core.model.Outcome;
import org.dogwoodwood.core.model.TargetState;

/** Defines the numbers of enum values on the wire, independent of their declaration order. */
final class EnumNumbers {

    static final List<Outcome> OUTCOMES =
            List.of(Outcome.ANSWERED, Outcome.NOT_RUN, Outcome.UNKNOWN);

    static final List<TargetState> STATES =
            List.of(
                    TargetState.COLD,
                    TargetState.WARM,
                    TargetState.DRAINING,
                    TargetState.LEAVING,
                    TargetState.DOWN);

    private EnumNumbers() {}
}
