package org.geraniumproxy.core.pool;

import java.util.List;
import org.geraniumproxy.core.identity.VmName;

/** Part of a VM in the use of a database's connections. */
public sealed interface ConnectionRole {
    /** Each VM uses connections of its own, within an equal share. */
    record Divided() implements ConnectionRole {}

    /**
     * This VM is one of the owners.
     *
     * @param connections number of connections that it may open
     * @param owners all owners in the order in which they are used
     */
    record Owner(int connections, List<VmName> owners) implements ConnectionRole {
        /** Copies the list. */
        public Owner {
            owners = List.copyOf(owners);
        }
    }

    /**
     * This VM uses the connections of the owners, and the reserve while they are unreachable.
     *
     * @param owners owners in the order in which they are used
     */
    record User(List<VmName> owners) implements ConnectionRole {
        /** Copies the list. */
        public User {
            owners = List.copyOf(owners);
        }
    }

    /**
     * Returns whether this VM is one of the owners.
     *
     * @return true if it is
     */
    default boolean isOwner() {
        return this instanceof Owner;
    }

    /**
     * Returns the VMs to ask for a connection.
     *
     * @return the owners in the order in which they are used; empty if this VM uses its own connections
     */
    default List<VmName> candidates() {
        return switch (this) {
            case Divided _ -> List.of();
            case Owner owner -> owner.owners();
            case User user -> user.owners();
        };
    }
}
