package org.geraniumproxy.core.pool;

import java.time.Instant;

/**
 * A slot in use.
 *
 * @param request the request that has it
 * @param since moment at which it was granted
 */
record RunningSlot(SlotRequest request, Instant since) {}
