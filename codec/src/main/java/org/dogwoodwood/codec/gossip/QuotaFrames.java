package org.dogwoodwood.codec.gossip;

import java.util.ArrayList;
import java.util.List;
import org.dogwoodwood.core.quota.QuotaGrant;
import org.dogwoodwood.core.quota.SlotId;

/**
 * Encodes and decodes the payloads of QUOTA_REQUEST and QUOTA_REPLY (frames 16 and 17). A reply
 * contains one grant for each entry of its request, in the same order.
 */
public final class QuotaFrames {

    private static final int MAX_NAME_BYTES = 255;
    private static final int MAX_ENTRIES = 4_096;
    private static final int ENTRY_ELEMENTS = 4;
    private static final int GRANT_ELEMENTS = 3;
    private static final List<QuotaGrant.State> STATES =
            List.of(
                    QuotaGrant.State.GRANTED,
                    QuotaGrant.State.EXHAUSTED,
                    QuotaGrant.State.IN_DEMAND,
                    QuotaGrant.State.NOT_COORDINATOR);

    /**
     * One ask of an ingress or loan request of a coordinator.
     *
     * @param slot the slot that is asked
     * @param waiting the number of calls that wait for a token
     * @param wished the number of tokens that would be useful on top
     */
    public record Entry(SlotId slot, int waiting, int wished) {}

    /**
     * A request to the coordinators on one node.
     *
     * @param loan whether the entries are loan requests instead of asks
     * @param entries the entries
     */
    public record Request(boolean loan, List<Entry> entries) {

        /** Copies the list. */
        public Request {
            entries = List.copyOf(entries);
        }
    }

    private QuotaFrames() {}

    /** Encodes a request. */
    public static byte[] encodeRequest(Request request) {
        return Payloads.write(
                packer -> {
                    packer.packArrayHeader(1 + ENTRY_ELEMENTS * request.entries().size());
                    packer.packBoolean(request.loan());
                    for (Entry entry : request.entries()) {
                        packer.packString(entry.slot().account()).packInt(entry.slot().slot());
                        packer.packInt(entry.waiting()).packInt(entry.wished());
                    }
                });
    }

    /** Decodes a request. */
    public static Request decodeRequest(byte[] payload) {
        return Payloads.read(
                payload,
                unpacker -> {
                    int elements = Payloads.readArrayHeader(unpacker, size(ENTRY_ELEMENTS) + 1) - 1;
                    checkMultiple(elements, ENTRY_ELEMENTS);
                    boolean loan = unpacker.unpackBoolean();
                    List<Entry> entries = new ArrayList<>();
                    for (int i = 0; i < elements / ENTRY_ELEMENTS; i++) {
                        String account = Payloads.readString(unpacker, MAX_NAME_BYTES);
                        SlotId slot = new SlotId(account, unpacker.unpackInt());
                        entries.add(
                                new Entry(
                                        slot,
                                        notNegative(unpacker.unpackInt()),
                                        notNegative(unpacker.unpackInt())));
                    }
                    return new Request(loan, entries);
                });
    }

    /** Encodes a reply. */
    public static byte[] encodeReply(List<QuotaGrant> grants) {
        return Payloads.write(
                packer -> {
                    packer.packArrayHeader(GRANT_ELEMENTS * grants.size());
                    for (QuotaGrant grant : grants) {
                        packer.packInt(grant.tokens()).packInt(STATES.indexOf(grant.state()));
                        packer.packInt(grant.retryMillis());
                    }
                });
    }

    /** Decodes a reply. */
    public static List<QuotaGrant> decodeReply(byte[] payload) {
        return Payloads.read(
                payload,
                unpacker -> {
                    int elements = Payloads.readArrayHeader(unpacker, size(GRANT_ELEMENTS));
                    checkMultiple(elements, GRANT_ELEMENTS);
                    List<QuotaGrant> grants = new ArrayList<>();
                    for (int i = 0; i < elements / GRANT_ELEMENTS; i++) {
                        grants.add(
                                new QuotaGrant(
                                        notNegative(unpacker.unpackInt()),
                                        STATES.get(unpacker.unpackInt()),
                                        notNegative(unpacker.unpackInt())));
                    }
                    return grants;
                });
    }

    private static int size(int elements) {
        return elements * MAX_ENTRIES;
    }

    private static int notNegative(int value) {
        if (value < 0) {
            throw new IllegalArgumentException("A number of a quota frame is negative.");
        }
        return value;
    }

    private static void checkMultiple(int elements, int unit) {
        if (elements < 0 || elements % unit != 0) {
            throw new IllegalArgumentException("A quota frame has a wrong number of elements.");
        }
    }
}
