package org.geraniumproxy.core.promotion;

import org.geraniumproxy.core.promotion.CommandResult.Answered;
import org.geraniumproxy.core.promotion.CommandResult.Failed;
import org.geraniumproxy.core.promotion.CommandResult.Unanswered;

/** What the old primary must have answered to the command to step down before another database is promoted. */
public enum StepDownRequirement {
    /** Nothing: the replicas stay stopped, and the primary is failing or unknown. */
    NONE,
    /** It has stepped down, unless the command could not be sent to it. */
    UNLESS_UNREACHABLE,
    /** It has stepped down. */
    ALWAYS;

    /** Returns whether the result of the command allows the promotion. */
    boolean isMetBy(CommandResult result) {
        return switch (result) {
            case Answered answered -> this == NONE || !answered.status().primary();
            case Failed _ -> this != ALWAYS;
            case Unanswered _ -> this == NONE;
        };
    }
}
