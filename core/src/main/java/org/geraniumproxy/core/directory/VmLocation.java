package org.geraniumproxy.core.directory;

import java.util.Optional;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;

/**
 * Where a VM runs, as far as its registration states it.
 *
 * @param failureDomain failure domain of the VM, empty if its registration names none
 * @param region region of the VM, empty if its registration names none
 */
public record VmLocation(Optional<FailureDomain> failureDomain, Optional<RegionName> region) {
    /** Location of a VM whose registration states none. */
    public static final VmLocation UNKNOWN = new VmLocation(Optional.empty(), Optional.empty());
}
