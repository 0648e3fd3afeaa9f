package org.dogwoodwood.core.quota;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * The token bucket of one slot. Tokens that ingresses keep for later calls count against its depth
 * until they expire, so that the level and the kept tokens together never exceed the depth.
 */
final class SlotBucket {

    private static final double KEPT_SHARE = 0.25;
    private static final double NANOS_PER_SECOND = 1e9;

    private final Deque<Kept> kept = new ArrayDeque<>();
    private QuotaLimit limit;
    private int slots;
    private double part = 1;
    private double level;
    private int keptTokens;
    private long updatedNanos;

    SlotBucket(QuotaLimit limit, int slots, long nowNanos) {
        this.limit = limit;
        this.slots = slots;
        this.level = limit.startLevel() / slots;
        this.updatedNanos = nowNanos;
    }

    void configure(QuotaLimit newLimit, int newSlots, double newPart, long nowNanos) {
        update(nowNanos);
        limit = newLimit;
        slots = newSlots;
        part = newPart;
        level = Math.min(level, room());
    }

    void update(long nowNanos) {
        long elapsedNanos = nowNanos - updatedNanos;
        updatedNanos = nowNanos;
        while (!kept.isEmpty() && kept.getFirst().expiryNanos() - nowNanos <= 0) {
            keptTokens -= kept.removeFirst().tokens();
        }
        double filled = level + ratePerSecond() * elapsedNanos / NANOS_PER_SECOND;
        level = Math.max(0, Math.min(filled, room()));
    }

    /** Takes at most the given number of tokens. */
    int take(int wanted) {
        int taken = (int) Math.min(Math.max(0, wanted), Math.floor(level));
        level -= taken;
        return taken;
    }

    /** Takes tokens that an ingress may keep, if the bucket is more than half full. */
    int takeKept(int wanted, long lifetimeNanos, long nowNanos) {
        double spare = level - depth() / 2;
        double allowed = KEPT_SHARE * depth() - keptTokens;
        int taken = take((int) Math.min(wanted, Math.floor(Math.min(spare, allowed))));
        if (taken > 0) {
            kept.addLast(new Kept(taken, nowNanos + lifetimeNanos));
            keptTokens += taken;
        }
        return taken;
    }

    /** Adds borrowed tokens; what exceeds the depth is lost. */
    void add(int tokens, int neededNow) {
        int direct = Math.min(tokens, neededNow);
        level = Math.max(level, Math.min(level + tokens - direct, room())) + direct;
    }

    void clear() {
        level = 0;
    }

    double level() {
        return level;
    }

    double depth() {
        return part * limit.depth() / slots;
    }

    /** Returns the time until the bucket holds a token, in milliseconds, at most a minute. */
    int millisToToken() {
        double rate = ratePerSecond();
        return rate <= 0 ? 60_000 : (int) Math.min(60_000, Math.ceil(1_000 * (1 - level) / rate));
    }

    private double ratePerSecond() {
        return part * limit.callsPerSecond() / slots;
    }

    private double room() {
        return Math.max(0, depth() - keptTokens);
    }

    private record Kept(int tokens, long expiryNanos) {}
}
