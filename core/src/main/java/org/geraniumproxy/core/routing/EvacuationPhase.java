package org.geraniumproxy.core.routing;

/** Progress of the evacuation of a failure domain on one VM. Its replicas get no new statement in any phase. */
public enum EvacuationPhase {
    /** Primaries in the failure domain serve until they are replaced. */
    REPLACING,
    /** No statement is sent to the failure domain any more, and its open transactions are rolled back. */
    CLOSED,
    /** Connections in use are closed, too. */
    ENDED
}
