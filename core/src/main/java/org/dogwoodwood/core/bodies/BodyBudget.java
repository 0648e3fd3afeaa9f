package org.dogwoodwood.core.bodies;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Divides a bounded amount of memory among the bodies that a process holds.
 *
 * <p>When the memory is used up, bodies that are still being received give up theirs, the one whose
 * sender has been silent longest first. A whole body keeps its memory until it is released. Large
 * bodies cannot use the last quarter of the memory, and only an ordinary body, of at most 16 KiB,
 * takes the memory of another ordinary one.
 *
 * <p>Must be used on one thread only.
 *
 * @param <B> the type of a body; bodies are compared with {@code equals}
 */
public final class BodyBudget<B> {

    /** The maximum size of a body that may use the part for small bodies, in bytes (256 KiB). */
    public static final int SMALL_BODY_BYTES = 256 << 10;

    /** The maximum size of a body that only an ordinary one displaces, in bytes (16 KiB). */
    public static final int ORDINARY_BODY_BYTES = 16 << 10;

    private static final double SHARE_OF_LARGE_BODIES = 0.75;

    private final long capacityBytes;
    // The bodies that are being received and what they hold, the longest silent first.
    private final Map<B, Long> incomplete = new LinkedHashMap<>();
    private long heldBytes;

    private BodyBudget(long capacityBytes) {
        checkArgument(capacityBytes >= 0, "capacityBytes must not be negative.");
        this.capacityBytes = capacityBytes;
    }

    /** Returns a budget of the given size, in bytes, that holds nothing. */
    public static <B> BodyBudget<B> of(long capacityBytes) {
        return new BodyBudget<>(capacityBytes);
    }

    /** Returns the size of the largest body that can be held if no other one is, in bytes. */
    public long largestBodyBytes() {
        return (long) (SHARE_OF_LARGE_BODIES * capacityBytes);
    }

    /** Returns the number of bytes that are held. */
    public long heldBytes() {
        return heldBytes;
    }

    /**
     * Gives more memory to a body.
     *
     * @param body the body, which is not displaced itself
     * @param bytes what it holds already, in bytes
     * @param moreBytes what it needs in addition, in bytes
     * @return the bodies that have been displaced and hold nothing now; empty if there is no memory
     *     for the body, and then nothing has changed
     */
    public Optional<List<B>> grow(B body, long bytes, long moreBytes) {
        long newBytes = bytes + moreBytes;
        long limitBytes = newBytes <= SMALL_BODY_BYTES ? capacityBytes : largestBodyBytes();
        long missingBytes = heldBytes + moreBytes - limitBytes;
        List<B> displaced = List.of();
        if (moreBytes > 0 && missingBytes > 0) {
            displaced = choose(body, newBytes, missingBytes);
            if (displaced.isEmpty()) {
                return Optional.empty();
            }
        }
        displaced.forEach(this::displace);
        heldBytes += moreBytes;
        incomplete.computeIfPresent(body, (same, old) -> newBytes);
        return Optional.of(displaced);
    }

    /**
     * Records that a body is being received and that a part of it, or its head, has just arrived.
     *
     * @param bytes what it holds, in bytes
     */
    public void onReceived(B body, long bytes) {
        incomplete.remove(body);
        incomplete.put(body, bytes);
    }

    /** Records that a whole body has arrived, which is not displaced any more. */
    public void onComplete(B body) {
        incomplete.remove(body);
    }

    /**
     * Releases the memory of a body that has not been displaced.
     *
     * @param bytes what it holds, in bytes
     */
    public void release(B body, long bytes) {
        incomplete.remove(body);
        heldBytes -= bytes;
    }

    /** Returns the bodies that hold the missing bytes, or none if there are not enough. */
    private List<B> choose(B growing, long newBytes, long missingBytes) {
        List<B> chosen = new ArrayList<>();
        long stillMissing = choose(chosen, growing, false, missingBytes);
        if (newBytes <= ORDINARY_BODY_BYTES) {
            stillMissing = choose(chosen, growing, true, stillMissing);
        }
        return stillMissing > 0 ? List.of() : chosen;
    }

    private long choose(List<B> chosen, B growing, boolean ordinary, long missingBytes) {
        long stillMissing = missingBytes;
        Iterator<Map.Entry<B, Long>> longestSilentFirst = incomplete.entrySet().iterator();
        while (stillMissing > 0 && longestSilentFirst.hasNext()) {
            Map.Entry<B, Long> entry = longestSilentFirst.next();
            long held = entry.getValue();
            boolean matches = held > 0 && ordinary == held <= ORDINARY_BODY_BYTES;
            if (matches && !entry.getKey().equals(growing)) {
                chosen.add(entry.getKey());
                stillMissing -= held;
            }
        }
        return stillMissing;
    }

    private void displace(B body) {
        heldBytes -= incomplete.remove(body);
    }
}
