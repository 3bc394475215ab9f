package org.geraniumproxy.measure.reads;

/**
 * Figures of a run.
 *
 * @param reads reads that a replica may serve
 * @param servedByReplica reads that a replica served
 * @param readsOfWritingSessions those of the reads whose session also writes
 * @param servedByReplicaOfWritingSessions those of them that a replica served
 * @param repeated reads that ran a second time, at the primary, after a replica's reply was rejected
 * @param stale answers that missed a write of their own session or were older than allowed
 * @param waited reads that waited for a replica
 */
record ReadResult(
        long reads,
        long servedByReplica,
        long readsOfWritingSessions,
        long servedByReplicaOfWritingSessions,
        long repeated,
        long stale,
        long waited) {}
