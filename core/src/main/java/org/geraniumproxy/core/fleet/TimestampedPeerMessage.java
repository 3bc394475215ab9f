package org.geraniumproxy.core.fleet;

import java.time.Instant;

/**
 * The last message of another VM.
 *
 * @param message the message
 * @param timestamp moment at which it arrived
 */
record TimestampedPeerMessage(PeerMessage message, Instant timestamp) {}
