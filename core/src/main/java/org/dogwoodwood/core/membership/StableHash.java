package org.dogwoodwood.core.membership;

/** Non-cryptographic 64-bit hashes that are equal in every process. */
public final class StableHash {

    private static final long FNV_OFFSET = 0xcbf29ce484222325L;
    private static final long FNV_PRIME = 0x100000001b3L;

    private StableHash() {}

    /**
     * Returns the hash of a text (FNV-1a over its UTF-16 units, then the finaliser of SplitMix64).
     *
     * @param text the text, not null
     */
    public static long of(String text) {
        long hash = FNV_OFFSET;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * FNV_PRIME;
        }
        return mix(hash);
    }

    /** Returns the hash of a hash followed by a number. */
    public static long combine(long hash, long number) {
        return mix(hash * FNV_PRIME + mix(number));
    }

    private static long mix(long value) {
        long mixed = value + 0x9e3779b97f4a7c15L;
        mixed = (mixed ^ (mixed >>> 30)) * 0xbf58476d1ce4e5b9L;
        mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
        return mixed ^ (mixed >>> 31);
    }
}
