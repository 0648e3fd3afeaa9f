package org.dogwoodwood.node.guard;

import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.model.TargetState;

/** A listener of a monitor that does nothing. */
class IgnoringListener implements TargetMonitor.Listener {

    @Override
    public void onPolled() {}

    @Override
    public void onCapacity(TargetCapacity capacity) {}

    @Override
    public void onState(TargetState state) {}

    @Override
    public void onCondition(TargetCondition condition) {}

    @Override
    public void onCrash() {}
}
