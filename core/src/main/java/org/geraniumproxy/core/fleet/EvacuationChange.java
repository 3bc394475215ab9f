package org.geraniumproxy.core.fleet;

import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.StoreRevision;

/**
 * The operator ordered or ended the evacuation of a failure domain.
 *
 * @param failureDomain name of the failure domain
 * @param evacuated whether the key of the order exists
 * @param revision store revision of the change
 */
public record EvacuationChange(FailureDomain failureDomain, boolean evacuated, StoreRevision revision) {}
