package org.dogwoodwood.node.guard;

import org.dogwoodwood.core.admission.TargetCapacity;
import org.dogwoodwood.core.model.TargetState;

/** A no-op listener of a target monitor. */
class IgnoringListener implements TargetMonitor.Listener {

    @Override
    public void onPollEnded() {}

    @Override
    public void onCapacity(TargetCapacity capacity) {}

    @Override
    public void onState(TargetState state) {}

    @Override
    public void onLoad(ReportedLoad load) {}

    @Override
    public void onCrash() {}
}
