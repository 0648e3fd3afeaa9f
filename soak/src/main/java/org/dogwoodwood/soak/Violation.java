package org.dogwoodwood.soak;

/**
 * A rule that was broken.
 *
 * @param rule the rule
 * @param evidence the request, the answer and the runs
 */
record Violation(Rule rule, String evidence) {

    @Override
    public String toString() {
        return rule + " (" + rule.description() + "): " + evidence;
    }
}
