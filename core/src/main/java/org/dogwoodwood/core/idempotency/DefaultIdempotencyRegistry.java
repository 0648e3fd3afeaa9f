package org.dogwoodwood.core.idempotency;

import static org.dogwoodwood.core.Preconditions.checkArgument;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import org.dogwoodwood.core.ErrorCode;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;
import org.dogwoodwood.core.model.CallDescription;
import org.dogwoodwood.core.model.TargetAnswer;

/** In-memory registry of the keys of one guard, which hands keys over when their owner changes. */
public final class DefaultIdempotencyRegistry implements IdempotencyRegistry {

    private record Expiry(KeyRecord record, long atNanos) {}

    private final KeyOwnership ownership;
    private final KeyLimits limits;
    private final Map<String, KeyRecord> records = new HashMap<>();
    private final PriorityQueue<Expiry> expiries =
            new PriorityQueue<>((a, b) -> Long.compare(a.atNanos(), b.atNanos()));
    private final Deque<KeyRecord> recordsWithAnswer = new ArrayDeque<>();
    private final Map<String, KeyEntry> pendingUpdates = new LinkedHashMap<>();
    private long answerBytes;

    private DefaultIdempotencyRegistry(KeyOwnership ownership, KeyLimits limits) {
        this.ownership = Objects.requireNonNull(ownership, "ownership");
        this.limits = Objects.requireNonNull(limits, "limits");
    }

    /**
     * Creates an empty registry.
     *
     * @param ownership determines which keys this node owns, not null
     * @param limits bounds on memory, not null
     */
    public static DefaultIdempotencyRegistry create(KeyOwnership ownership, KeyLimits limits) {
        return new DefaultIdempotencyRegistry(ownership, limits);
    }

    @Override
    public KeyDecision begin(CallDescription call, long nowNanos) {
        String key = keyOf(call);
        removeExpired(nowNanos);
        Optional<ErrorCode> refusal = ownership.refusalFor(key, nowNanos);
        if (refusal.isPresent()) {
            return KeyDecision.refuse(refusal.get());
        }
        KeyRecord known = records.get(key);
        if (known != null) {
            return known.decide(call.fingerprint());
        }
        if (records.size() >= limits.maxKeys()) {
            return KeyDecision.refuse(ErrorCode.OVERLOADED);
        }
        records.put(key, KeyRecord.ofCall(key, call));
        return KeyDecision.run();
    }

    @Override
    public boolean mayStart(CallDescription call, long nowNanos) {
        KeyRecord known = records.get(keyOf(call));
        return known != null
                && known.isRunningAttempt(call)
                && !known.isHandedOver()
                && ownership.refusalFor(known.key(), nowNanos).isEmpty();
    }

    @Override
    public void complete(CallDescription call, TargetAnswer answer, long nowNanos) {
        find(call)
                .ifPresent(
                        known -> {
                            known.setState(KeyState.ANSWERED, Optional.of(answer));
                            retainAnswer(known);
                            scheduleExpiry(known, ownership.windowNanos(), nowNanos);
                        });
    }

    @Override
    public void release(CallDescription call) {
        find(call)
                .ifPresent(
                        known -> {
                            known.setState(KeyState.RELEASED, Optional.empty());
                            records.remove(known.key());
                            queueUpdate(known, 0);
                        });
    }

    @Override
    public void markInDoubt(CallDescription call, long nowNanos) {
        find(call)
                .ifPresent(
                        known -> {
                            known.setState(KeyState.IN_DOUBT, Optional.empty());
                            scheduleExpiry(known, ownership.windowNanos(), nowNanos);
                        });
    }

    /**
     * Returns the frames that hand over all entries of keys that a member now owns; the last frame
     * is marked as complete. Each frame must be accepted before the next is sent, and after the
     * last one the caller must call {@link KeyOwnership#onHandoverAccepted}. If a frame is not
     * accepted, the caller starts again with this method.
     *
     * @param recipient a member from {@link KeyOwnership#handoverRecipients}, not null
     * @param nowNanos the current time in nanoseconds
     */
    public List<KeyHandover> prepareHandover(RegisteredMember recipient, long nowNanos) {
        removeExpired(nowNanos);
        List<KeyEntry> entries = new ArrayList<>();
        for (KeyRecord known : records.values()) {
            if (ownership.ownerOf(known.key()).filter(recipient::equals).isPresent()) {
                known.markHandedOver();
                entries.add(known.toEntry(ownership.windowNanos(), nowNanos));
            }
        }
        return splitIntoFrames(recipient, entries, true, ownership.unsettled(nowNanos));
    }

    /**
     * Returns and removes the frames that report the outcomes of calls that were still running when
     * they were handed over, for their new owners.
     */
    public List<KeyHandover> drainUpdates() {
        Map<RegisteredMember, List<KeyEntry>> byOwner = new LinkedHashMap<>();
        pendingUpdates
                .values()
                .forEach(
                        entry ->
                                ownership
                                        .ownerOf(entry.key())
                                        .ifPresent(
                                                owner ->
                                                        byOwner.computeIfAbsent(
                                                                        owner,
                                                                        any -> new ArrayList<>())
                                                                .add(entry)));
        pendingUpdates.clear();
        List<KeyHandover> frames = new ArrayList<>();
        byOwner.forEach(
                (owner, entries) ->
                        frames.addAll(splitIntoFrames(owner, entries, false, Set.of())));
        return frames;
    }

    /**
     * Applies a handover frame.
     *
     * @param handover the frame, not null
     * @param nowNanos the current time in nanoseconds
     * @return whether the frame is accepted, which requires that it is addressed to this process
     */
    public boolean receive(KeyHandover handover, long nowNanos) {
        if (!handover.recipient().equals(ownership.self())) {
            return false;
        }
        if (handover.viewOffset() < ownership.lastHandoverOffset(handover.sender())) {
            return true;
        }
        handover.entries().forEach(entry -> merge(entry, nowNanos));
        if (handover.complete()) {
            ownership.onHandover(
                    handover.sender(), handover.viewOffset(), handover.unsettled(), nowNanos);
        }
        return true;
    }

    /** Returns the number of stored keys. */
    public int size() {
        return records.size();
    }

    private void merge(KeyEntry entry, long nowNanos) {
        KeyRecord known = records.get(entry.key());
        if (known != null && !known.isSupersededBy(entry)) {
            return;
        }
        if (known != null) {
            records.remove(entry.key());
            dropAnswer(known);
        }
        if (entry.state() == KeyState.RELEASED) {
            return;
        }
        KeyRecord received = KeyRecord.ofEntry(entry);
        records.put(entry.key(), received);
        retainAnswer(received);
        long window = ownership.windowNanos();
        scheduleExpiry(received, Math.min(entry.remainingNanos(), window), nowNanos);
    }

    private void scheduleExpiry(KeyRecord known, long durationNanos, long nowNanos) {
        long until = nowNanos + durationNanos;
        known.setExpiry(until);
        expiries.add(new Expiry(known, until));
        queueUpdate(known, nowNanos);
    }

    private void queueUpdate(KeyRecord known, long nowNanos) {
        if (known.isHandedOver()) {
            pendingUpdates.put(known.key(), known.toEntry(ownership.windowNanos(), nowNanos));
        }
    }

    private void retainAnswer(KeyRecord known) {
        if (known.answerBytes() == 0) {
            return;
        }
        recordsWithAnswer.add(known);
        answerBytes += known.answerBytes();
        while (answerBytes > limits.maxAnswerBytes() && !recordsWithAnswer.isEmpty()) {
            dropAnswer(recordsWithAnswer.remove());
        }
    }

    private void dropAnswer(KeyRecord known) {
        answerBytes -= known.answerBytes();
        known.dropAnswer();
    }

    private void removeExpired(long nowNanos) {
        while (!expiries.isEmpty() && nowNanos - expiries.peek().atNanos() >= 0) {
            KeyRecord expired = expiries.remove().record();
            records.remove(expired.key(), expired);
            dropAnswer(expired);
        }
        while (!recordsWithAnswer.isEmpty() && recordsWithAnswer.peek().answerBytes() == 0) {
            recordsWithAnswer.remove();
        }
    }

    private List<KeyHandover> splitIntoFrames(
            RegisteredMember recipient,
            List<KeyEntry> entries,
            boolean complete,
            Set<RegisteredMember> unsettled) {
        List<List<KeyEntry>> parts = new ArrayList<>();
        List<KeyEntry> part = new ArrayList<>();
        long bytes = 0;
        for (KeyEntry entry : entries) {
            long size = entry.answer().map(KeyRecord::bytesOf).orElse(0L) + entry.key().length();
            if (bytes + size > limits.maxHandoverBytes() && !part.isEmpty()) {
                parts.add(part);
                part = new ArrayList<>();
                bytes = 0;
            }
            part.add(entry);
            bytes += size;
        }
        parts.add(part);
        long offset = ownership.currentView().map(MemberView::offset).orElse(-1L);
        List<KeyHandover> frames = new ArrayList<>();
        for (int i = 0; i < parts.size(); i++) {
            boolean last = complete && i == parts.size() - 1;
            frames.add(
                    new KeyHandover(
                            ownership.self(), recipient, offset, parts.get(i), last, unsettled));
        }
        return frames;
    }

    private Optional<KeyRecord> find(CallDescription call) {
        return Optional.ofNullable(records.get(keyOf(call)))
                .filter(known -> known.isRunningAttempt(call));
    }

    private static String keyOf(CallDescription call) {
        checkArgument(call.key().isPresent(), "The call must have a key.");
        return call.key().get();
    }
}
