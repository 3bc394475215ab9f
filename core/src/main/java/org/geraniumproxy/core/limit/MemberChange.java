package org.geraniumproxy.core.limit;

import java.util.List;
import org.geraniumproxy.core.identity.VmName;

/**
 * How the members of the fleet differ from those before. It is computed once and applied to each customer.
 *
 * @param previousCount number of members before
 * @param joined members that are new
 * @param changed whether a member joined or left
 */
public record MemberChange(int previousCount, List<VmName> joined, boolean changed) {
    /** Copies the list. */
    public MemberChange {
        joined = List.copyOf(joined);
    }
}
