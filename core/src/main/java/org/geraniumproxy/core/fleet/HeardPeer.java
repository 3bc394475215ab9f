package org.geraniumproxy.core.fleet;

import java.time.Instant;

/**
 * The last message of another VM.
 *
 * @param message the message
 * @param heardAt moment at which it arrived
 */
record HeardPeer(PeerMessage message, Instant heardAt) {}
