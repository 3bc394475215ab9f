package org.geraniumproxy.core.pool;

import java.time.Instant;

/**
 * A slot in use.
 *
 * @param request the request that has it
 * @param grantedAt moment at which it was granted
 */
record RunningSlot(SlotRequest request, Instant grantedAt) {}
