package org.dogwoodwood.codec.gossip;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import org.dogwoodwood.core.idempotency.KeyEntry;
import org.dogwoodwood.core.idempotency.KeyHandover;
import org.dogwoodwood.core.idempotency.KeyState;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;
import org.dogwoodwood.core.model.HeaderField;
import org.dogwoodwood.core.model.NodeId;
import org.dogwoodwood.core.model.TargetAnswer;
import org.msgpack.core.MessagePacker;
import org.msgpack.core.MessageUnpacker;

/**
 * Encodes and decodes the payloads of KEY_HANDOVER and KEY_HANDOVER_REPLY (frames 12 and 13). A
 * request without a handover (nil) only queries the offset up to which the peer has read the log.
 */
public final class KeyHandoverFrames {

    private static final int MAX_NAME_BYTES = 255;
    private static final int MAX_KEY_BYTES = 1_024;
    private static final int MAX_HEADER_BYTES = 16 << 10;
    private static final int MAX_BODY_BYTES = 4 << 20;
    private static final int MAX_ENTRIES = 100_000;
    private static final int MAX_MEMBERS = 40_000;
    private static final int MAX_HEADERS = 200;
    private static final int MEMBER_ELEMENTS = 2;
    private static final int HANDOVER_ELEMENTS = 6;
    private static final int ENTRY_ELEMENTS = 5;
    private static final int ANSWER_ELEMENTS = 3;
    private static final int REPLY_ELEMENTS = 3;
    private static final long NO_OFFSET = -1;

    /**
     * The reply to a request.
     *
     * @param sender the process that sends the reply
     * @param accepted whether the sender has applied the handover
     * @param viewOffset the log offset of the sender's member view, or empty if the sender is
     *     leaving or has no view yet, and so confirms no other member
     */
    public record Reply(RegisteredMember sender, boolean accepted, OptionalLong viewOffset) {}

    private KeyHandoverFrames() {}

    /** Encodes a request; without a handover it only queries the offset of the peer. */
    public static byte[] encodeRequest(Optional<KeyHandover> handover) {
        return Payloads.write(
                packer -> {
                    if (handover.isPresent()) {
                        write(packer, handover.get());
                    } else {
                        packer.packNil();
                    }
                });
    }

    /** Returns the handover in a request, or empty if it only queries the offset. */
    public static Optional<KeyHandover> decodeRequest(byte[] payload) {
        return Payloads.read(
                payload,
                unpacker ->
                        unpacker.tryUnpackNil()
                                ? Optional.empty()
                                : Optional.of(readHandover(unpacker)));
    }

    /** Encodes a reply. */
    public static byte[] encodeReply(Reply reply) {
        return Payloads.write(
                packer -> {
                    packer.packArrayHeader(REPLY_ELEMENTS);
                    write(packer, reply.sender());
                    packer.packBoolean(reply.accepted());
                    packer.packLong(reply.viewOffset().orElse(NO_OFFSET));
                });
    }

    /** Decodes a reply. */
    public static Reply decodeReply(byte[] payload) {
        return Payloads.read(
                payload,
                unpacker -> {
                    Payloads.expectArrayHeader(unpacker, REPLY_ELEMENTS);
                    RegisteredMember sender = readMember(unpacker);
                    boolean accepted = unpacker.unpackBoolean();
                    long offset = unpacker.unpackLong();
                    return new Reply(
                            sender,
                            accepted,
                            offset < 0 ? OptionalLong.empty() : OptionalLong.of(offset));
                });
    }

    private static void write(MessagePacker packer, KeyHandover handover) throws IOException {
        packer.packArrayHeader(HANDOVER_ELEMENTS);
        write(packer, handover.sender());
        write(packer, handover.recipient());
        packer.packLong(handover.viewOffset());
        packer.packArrayHeader(handover.entries().size());
        for (KeyEntry entry : handover.entries()) {
            write(packer, entry);
        }
        packer.packBoolean(handover.complete());
        packer.packArrayHeader(handover.unsettled().size());
        for (RegisteredMember member : handover.unsettled()) {
            write(packer, member);
        }
    }

    private static void write(MessagePacker packer, RegisteredMember member) throws IOException {
        packer.packArrayHeader(MEMBER_ELEMENTS);
        packer.packString(member.node().value());
        packer.packLong(member.incarnation());
    }

    private static void write(MessagePacker packer, KeyEntry entry) throws IOException {
        packer.packArrayHeader(ENTRY_ELEMENTS);
        packer.packString(entry.key());
        packer.packLong(entry.fingerprint());
        packer.packInt(entry.state().code());
        packer.packLong(entry.remainingNanos());
        if (entry.answer().isPresent()) {
            write(packer, entry.answer().get());
        } else {
            packer.packNil();
        }
    }

    private static void write(MessagePacker packer, TargetAnswer answer) throws IOException {
        packer.packArrayHeader(ANSWER_ELEMENTS);
        packer.packInt(answer.status());
        packer.packArrayHeader(2 * answer.headers().size());
        for (HeaderField header : answer.headers()) {
            packer.packString(header.name());
            packer.packString(header.value());
        }
        packer.packBinaryHeader(answer.body().length);
        packer.writePayload(answer.body());
    }

    private static KeyHandover readHandover(MessageUnpacker unpacker) throws IOException {
        Payloads.expectArrayHeader(unpacker, HANDOVER_ELEMENTS);
        RegisteredMember sender = readMember(unpacker);
        RegisteredMember recipient = readMember(unpacker);
        long viewOffset = unpacker.unpackLong();
        List<KeyEntry> entries = new ArrayList<>();
        int count = Payloads.readArrayHeader(unpacker, MAX_ENTRIES);
        for (int index = 0; index < count; index++) {
            entries.add(readEntry(unpacker));
        }
        boolean complete = unpacker.unpackBoolean();
        Set<RegisteredMember> unsettled = new HashSet<>();
        int members = Payloads.readArrayHeader(unpacker, MAX_MEMBERS);
        for (int index = 0; index < members; index++) {
            unsettled.add(readMember(unpacker));
        }
        return new KeyHandover(sender, recipient, viewOffset, entries, complete, unsettled);
    }

    private static RegisteredMember readMember(MessageUnpacker unpacker) throws IOException {
        Payloads.expectArrayHeader(unpacker, MEMBER_ELEMENTS);
        NodeId node = NodeId.of(Payloads.readString(unpacker, MAX_NAME_BYTES));
        return new RegisteredMember(node, unpacker.unpackLong());
    }

    private static KeyEntry readEntry(MessageUnpacker unpacker) throws IOException {
        Payloads.expectArrayHeader(unpacker, ENTRY_ELEMENTS);
        String key = Payloads.readString(unpacker, MAX_KEY_BYTES);
        long fingerprint = unpacker.unpackLong();
        KeyState state = KeyState.fromCode(unpacker.unpackInt());
        long remainingNanos = unpacker.unpackLong();
        Optional<TargetAnswer> answer =
                unpacker.tryUnpackNil() ? Optional.empty() : Optional.of(readAnswer(unpacker));
        return new KeyEntry(key, fingerprint, state, answer, remainingNanos);
    }

    private static TargetAnswer readAnswer(MessageUnpacker unpacker) throws IOException {
        Payloads.expectArrayHeader(unpacker, ANSWER_ELEMENTS);
        int status = unpacker.unpackInt();
        if (!TargetAnswer.isFinalStatus(status)) {
            throw new IllegalArgumentException("A stored answer has the status " + status + ".");
        }
        List<HeaderField> headers = new ArrayList<>();
        int fields = Payloads.readArrayHeader(unpacker, 2 * MAX_HEADERS);
        for (int index = 0; index < fields; index += 2) {
            String name = Payloads.readString(unpacker, MAX_HEADER_BYTES);
            headers.add(HeaderField.of(name, Payloads.readString(unpacker, MAX_HEADER_BYTES)));
        }
        int length = unpacker.unpackBinaryHeader();
        if (length > MAX_BODY_BYTES) {
            throw new IllegalArgumentException("The body of a stored answer is too long.");
        }
        return TargetAnswer.of(status, headers, unpacker.readPayload(length));
    }
}
