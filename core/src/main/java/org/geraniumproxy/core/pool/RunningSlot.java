package org.geraniumproxy.core.pool;

import java.time.Instant;

/**
 * A slot in use.
 *
 * @param request the request that uses the slot
 * @param grantedAt time at which the slot was granted
 */
record RunningSlot(SlotRequest request, Instant grantedAt) {}
