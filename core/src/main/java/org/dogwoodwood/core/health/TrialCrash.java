package org.dogwoodwood.core.health;

/**
 * A crash of a target while it ran a request on trial.
 *
 * @param fingerprint the fingerprint of the request
 * @param late whether the target had run it for a while, so that its beginning is not the cause
 */
public record TrialCrash(long fingerprint, boolean late) {}
