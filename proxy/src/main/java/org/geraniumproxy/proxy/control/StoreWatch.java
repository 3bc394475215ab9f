package org.geraniumproxy.proxy.control;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import org.geraniumproxy.proxy.store.PlatformStore;
import org.geraniumproxy.proxy.store.PlatformStore.StoredValue;
import org.jboss.logging.Logger;

/** Keeps at most one watch on a key waiting at the store. Confined to the control thread. */
final class StoreWatch {
    /** Longest wait of one watch: the age of the view grows by it, and the view bound is 3 s. */
    private static final Duration WATCH_WAIT = Duration.ofMillis(500);

    private static final Logger log = Logger.getLogger(StoreWatch.class);

    private final PlatformStore store;
    private final String key;
    private final Clock clock;
    private final Executor controlThread;
    private final Reader reader;
    private long knownRevision;
    private boolean active;
    private boolean waiting;
    private boolean reachable = true;

    StoreWatch(PlatformStore store, String key, Clock clock, Executor controlThread, Reader reader) {
        this.store = store;
        this.key = key;
        this.clock = clock;
        this.controlThread = controlThread;
        this.reader = reader;
    }

    /** Keeps watching from now on. A failed watch is started again by the next call. */
    void start() {
        active = true;
        ensureWaiting();
    }

    /** Starts no further watch. */
    void stop() {
        active = false;
    }

    private void ensureWaiting() {
        if (waiting || !active) {
            return;
        }
        waiting = true;
        Instant requestSentAt = clock.instant();
        var unused = store.watch(key, knownRevision, WATCH_WAIT)
                .thenComposeAsync(value -> reader.read(requestSentAt, value).thenApply(ignored -> value), controlThread)
                .whenCompleteAsync(this::finished, controlThread);
    }

    private void finished(StoredValue value, Throwable failure) {
        waiting = false;
        reportReachable(failure == null);
        if (failure == null) {
            knownRevision = value.revision();
            ensureWaiting();
        }
    }

    private void reportReachable(boolean nowReachable) {
        if (reachable != nowReachable) {
            reachable = nowReachable;
            log.infof("store: watch on %s %s", key, nowReachable ? "answered again" : "failed");
        }
    }

    /** Receives the value of the key. */
    @FunctionalInterface
    interface Reader {
        /** Handles a value that was read by a request sent at the given moment; a failure leaves the value unread. */
        CompletableFuture<Void> read(Instant requestSentAt, StoredValue value);
    }
}
