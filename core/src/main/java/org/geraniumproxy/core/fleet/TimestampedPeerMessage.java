package org.geraniumproxy.core.fleet;

import java.time.Instant;

/**
 * A peer message and the time at which this VM received or sent it.
 *
 * @param message state of the sender
 * @param timestamp time on this VM's clock
 */
record TimestampedPeerMessage(PeerMessage message, Instant timestamp) {}
