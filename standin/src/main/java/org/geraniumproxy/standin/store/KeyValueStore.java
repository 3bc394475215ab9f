package org.geraniumproxy.standin.store;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.control.InvariantViolation;

/** Key-value store with revisions, compare-and-swap and leases. Not thread-safe; callers pass in the time. */
public final class KeyValueStore {
    /** Maximum size of a value, as on the platform. */
    public static final int MAXIMUM_VALUE_BYTES = 1 << 20;

    /**
     * A value with the revision at which it was written.
     *
     * @param value the value
     * @param revision revision of the write, at least one
     * @param lease lease whose expiry deletes the key, zero for none
     */
    public record Entry(ByteString value, long revision, long lease) {}

    /**
     * Result of a compare-and-swap.
     *
     * @param swapped whether the value was replaced or deleted
     * @param current the entry after the call, empty if the key is absent
     */
    public record SwapResult(boolean swapped, Optional<Entry> current) {}

    private record Lease(Duration timeToLive, Instant expiry) {}

    private final Map<String, Entry> entries = new HashMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private long revision;
    private long leaseCount;

    /**
     * Reads a key.
     *
     * @param key the key
     * @param now the current time
     * @return the entry, empty if the key is absent
     */
    public Optional<Entry> get(String key, Instant now) {
        expireLeases(now);
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Replaces or deletes a value if its revision is the expected one.
     *
     * @param key the key
     * @param expectedRevision revision of the current value, zero if the key must be absent
     * @param value the new value, empty to delete the key
     * @param lease lease whose expiry deletes the key, zero for none
     * @param now the current time
     * @return whether the value was swapped, and the entry after the call
     * @throws IllegalArgumentException if the value is too large or the lease has expired
     */
    public SwapResult compareAndSwap(String key, long expectedRevision, ByteString value, long lease, Instant now) {
        expireLeases(now);
        if (value.size() > MAXIMUM_VALUE_BYTES) {
            throw new IllegalArgumentException(
                    "value must have at most " + MAXIMUM_VALUE_BYTES + " bytes, but has: " + value.size());
        }
        if (lease != 0 && !leases.containsKey(lease)) {
            throw new IllegalArgumentException("lease is not held: " + lease);
        }
        Entry current = entries.get(key);
        long currentRevision = current == null ? 0 : current.revision();
        if (currentRevision != expectedRevision) {
            return new SwapResult(false, Optional.ofNullable(current));
        }
        revision++;
        if (value.isEmpty()) {
            entries.remove(key);
            return new SwapResult(true, Optional.empty());
        }
        Entry newEntry = new Entry(value, revision, lease);
        InvariantViolation.check(newEntry.revision() > currentRevision, "the revision of a key grows with each write");
        entries.put(key, newEntry);
        return new SwapResult(true, Optional.of(newEntry));
    }

    /**
     * Grants a lease.
     *
     * @param timeToLive time until it expires unless it is kept alive
     * @param now the current time
     * @return the number of the lease, at least one
     */
    public long grantLease(Duration timeToLive, Instant now) {
        expireLeases(now);
        leaseCount++;
        leases.put(leaseCount, new Lease(timeToLive, now.plus(timeToLive)));
        return leaseCount;
    }

    /**
     * Restarts the time to live of a lease.
     *
     * @param lease number of the lease
     * @param now the current time
     * @return the time to live, empty if the lease has expired
     */
    public Optional<Duration> keepLeaseAlive(long lease, Instant now) {
        expireLeases(now);
        Lease held = leases.get(lease);
        if (held == null) {
            return Optional.empty();
        }
        leases.put(lease, new Lease(held.timeToLive(), now.plus(held.timeToLive())));
        return Optional.of(held.timeToLive());
    }

    private void expireLeases(Instant now) {
        for (Iterator<Map.Entry<Long, Lease>> iterator = leases.entrySet().iterator(); iterator.hasNext(); ) {
            Map.Entry<Long, Lease> lease = iterator.next();
            if (!lease.getValue().expiry().isAfter(now)) {
                iterator.remove();
                entries.values().removeIf(entry -> entry.lease() == lease.getKey());
            }
        }
    }
}
