/** The step-by-step introduction of a service's new version, and its judgement. */
package org.dogwoodwood.core.rollout;
