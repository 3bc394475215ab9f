package org.geraniumproxy.core.promotion;

import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.LogPosition;

/**
 * A database that an attempt may promote.
 *
 * @param database name of the database
 * @param received last position of its log, after it stopped receiving
 * @param proof why the log holds every acknowledged commit
 * @param steady whether the database stayed and had not restarted when it was chosen
 */
public record PromotionCandidate(BackendServerName database, LogPosition received, CommitProof proof, boolean steady) {
    @Override
    public String toString() {
        return "database=" + database + " position=" + PromotionChoice.text(received) + " proof=" + proof;
    }
}
