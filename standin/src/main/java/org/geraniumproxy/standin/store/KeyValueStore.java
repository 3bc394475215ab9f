package org.geraniumproxy.standin.store;

import com.google.protobuf.ByteString;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.control.InvariantViolation;

/** Keys with revisions, compare-and-swap and leases. Confined to one thread; time is an argument. */
public final class KeyValueStore {
    /** The platform's limit for the size of a value. */
    public static final int MAXIMUM_VALUE_BYTES = 1 << 20;

    /**
     * A value with the revision at which it was written.
     *
     * @param value the value
     * @param revision the revision, at least one
     * @param lease the lease that it is bound to, zero for none
     */
    public record Entry(ByteString value, long revision, long lease) {}

    /**
     * Result of a compare-and-swap.
     *
     * @param swapped whether the value was replaced
     * @param current the value after the call, if any
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
     * @param now the present moment
     * @return the entry, if the key is present
     */
    public Optional<Entry> get(String key, Instant now) {
        expireLeases(now);
        return Optional.ofNullable(entries.get(key));
    }

    /**
     * Replaces a value if it has not changed.
     *
     * @param key the key
     * @param expectedRevision revision of the current value, zero if the key must be absent
     * @param value the new value, empty to delete the key
     * @param lease lease that the key is bound to, zero for none
     * @param now the present moment
     * @return the result
     * @throws IllegalArgumentException if the value is too large or the lease is not held
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
     * @param timeToLive how long it lasts unless it is kept alive
     * @param now the present moment
     * @return the number of the lease
     */
    public long grantLease(Duration timeToLive, Instant now) {
        expireLeases(now);
        leaseCount++;
        leases.put(leaseCount, new Lease(timeToLive, now.plus(timeToLive)));
        return leaseCount;
    }

    /**
     * Extends a lease by its time to live from now on.
     *
     * @param lease the lease
     * @param now the present moment
     * @return the new time to live, empty if the lease has expired
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
