package org.dogwoodwood.core.idempotency;

import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.dogwoodwood.core.OrderedCopies;
import org.dogwoodwood.core.idempotency.MemberView.RegisteredMember;

/**
 * The content of a KEY_HANDOVER frame.
 *
 * @param sender the process that owned the keys
 * @param recipient the process that owns them according to the sender's view
 * @param viewOffset the offset of the sender's member view
 * @param entries the entries, in no particular order
 * @param complete whether this is the last frame, after which the recipient has all entries that
 *     the sender has
 * @param unsettled processes that may have run calls which the sender does not know of
 */
public record KeyHandover(
        RegisteredMember sender,
        RegisteredMember recipient,
        long viewOffset,
        List<KeyEntry> entries,
        boolean complete,
        Set<RegisteredMember> unsettled) {

    /** Checks that the references are present and copies the entries. */
    public KeyHandover {
        Objects.requireNonNull(sender, "sender");
        Objects.requireNonNull(recipient, "recipient");
        entries = List.copyOf(entries);
        unsettled = OrderedCopies.copyOf(unsettled);
    }
}
