package org.dogwoodwood.soak;

/**
 * A request that crashes each target that begins to run it.
 *
 * @param round distinguishes the requests of different rounds
 */
record CrashingKind(int round) implements SteadyRequest {

    @Override
    public String path(String id) {
        return TargetProcess.CRASHING_PATH + "/" + round;
    }
}
