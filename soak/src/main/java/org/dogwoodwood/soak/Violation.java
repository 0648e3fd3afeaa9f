package org.dogwoodwood.soak;

/**
 * A rule that was broken.
 *
 * @param rule the rule
 * @param evidence the request, the answer and the runs, or what was done to the process
 */
record Violation(Rule rule, String evidence) {

    @Override
    public String toString() {
        return rule + " (" + rule.description() + "): " + evidence;
    }
}
