package org.geraniumproxy.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.core.configuration.ConfigurationChange;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.configuration.Manifest;
import org.geraniumproxy.core.configuration.RolloutStatus;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.settings.Finding;

/** Message of a command to the operator. */
sealed interface Report {
    /** The file is valid. */
    record Checked(String file, int customers, int groups, int routes) implements Report {}

    /** The file is invalid. */
    record Rejected(List<Finding> findings) implements Report {}

    /** Changes between the active revision and the file. */
    record Changes(long revision, List<ConfigurationChange> changes) implements Report {}

    /** The store accepted the configuration. */
    record Accepted(Manifest manifest) implements Report {}

    /** Rollout status of the accepted revision at the end of the wait. */
    record Rollout(long revision, RolloutStatus status) implements Report {}

    /** The active revision is not the base revision of the change. */
    record Conflict(long baseRevision, Manifest current, Optional<List<ConfigurationChange>> changesSinceBase)
            implements Report {}

    /** The compare-and-swap was sent, but its outcome could not be determined. */
    record OutcomeUnknown(Manifest sent, Optional<String> lastFailure) implements Report {}

    /** Status of all VMs; those that did not reply have a failure. */
    record Fleet(Manifest manifest, Roster roster, List<NodeStatus> answers, Map<VmName, String> failures)
            implements Report {}

    /** A new API key, which is shown only once. */
    record CreatedKey(String key, KeyDigest digest) implements Report {}

    /** Digest of an API key. */
    record Digest(KeyDigest digest) implements Report {}

    /** A condition that does not stop the command. */
    record Warning(String message) implements Report {}

    /** The command failed. */
    record Failed(String message) implements Report {}
}
