package org.dogwoodwood.soak;

/** The body of an answer, which is derived from its stamp. */
final class StampedBody {

    private static final int MAX_REPEATS = 100;

    private StampedBody() {}

    static String of(String stamp) {
        int repeats = 1 + Math.floorMod(stamp.hashCode(), MAX_REPEATS);
        return "answer " + (stamp + "/").repeat(repeats) + "end";
    }
}
