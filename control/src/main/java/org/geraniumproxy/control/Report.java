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

/** What a command tells the operator. */
sealed interface Report {
    /** The file is correct. */
    record Checked(String file, int customers, int groups, int routes) implements Report {}

    /** The file is not correct. */
    record Rejected(List<Finding> findings) implements Report {}

    /** What the file changes against the revision in force. */
    record Changes(long revision, List<ConfigurationChange> changes) implements Report {}

    /** The configuration was accepted by the store. */
    record Accepted(Manifest manifest) implements Report {}

    /** How far the accepted revision has spread at the end of the wait. */
    record Rollout(long revision, RolloutStatus status) implements Report {}

    /** Another configuration is in force than the one that the change was based on. */
    record Conflict(long baseRevision, Manifest current, Optional<List<ConfigurationChange>> changesSinceBase)
            implements Report {}

    /** The compare-and-swap was sent and its outcome could not be determined. */
    record OutcomeUnknown(Manifest sent, Optional<String> lastFailure) implements Report {}

    /** The state of the fleet; VMs that did not answer have a failure. */
    record Fleet(Manifest manifest, Roster roster, List<NodeStatus> answers, Map<VmName, String> failures)
            implements Report {}

    /** A new key, shown once. */
    record CreatedKey(String key, KeyDigest digest) implements Report {}

    /** The digest of a key. */
    record Digest(KeyDigest digest) implements Report {}

    /** Something that the operator should know although the command goes on. */
    record Warning(String message) implements Report {}

    /** The command could not do its work. */
    record Failed(String message) implements Report {}
}
