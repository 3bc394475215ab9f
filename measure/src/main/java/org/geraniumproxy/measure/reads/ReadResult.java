package org.geraniumproxy.measure.reads;

/**
 * Metrics of a run.
 *
 * @param reads reads that replicas are allowed to serve
 * @param servedByReplica reads that replicas served
 * @param readsOfWritingSessions reads of sessions that also write
 * @param servedByReplicaOfWritingSessions reads of these sessions that replicas served
 * @param repeated reads that were repeated at the primary because the reply of a replica was rejected
 * @param stale answers that missed a write of their session or exceeded the accepted age
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
