package org.geraniumproxy.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;
import org.geraniumproxy.core.configuration.ConfigurationChange;
import org.geraniumproxy.core.configuration.Manifest;
import org.geraniumproxy.core.configuration.RolloutStatus;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.settings.FindingMessages;

/** Formats reports as text. */
final class TextReports {
    private TextReports() {}

    static String of(Report report) {
        return switch (report) {
            case Report.Checked(String file, int customers, int groups, int routes) ->
                file + ": correct, with " + customers + " customers, " + groups + " groups and " + routes + " routes";
            case Report.Rejected(var findings) ->
                FindingMessages.of(findings) + "\n" + findings.size() + " findings; nothing was changed";
            case Report.Changes(long revision, var changes)
            when changes.isEmpty() -> "no change against revision " + revision;
            case Report.Changes(long revision, var changes) ->
                "changes against revision " + revision + ":\n" + formatChanges(changes);
            case Report.Accepted(Manifest manifest) ->
                "accepted as revision " + manifest.revision() + ", apply " + manifest.applyIdentifier();
            case Report.Rollout(long revision, RolloutStatus status) -> rollout(revision, status);
            case Report.Conflict conflict -> conflict(conflict);
            case Report.OutcomeUnknown(Manifest sent, Optional<String> lastFailure) ->
                "outcome unknown: revision " + sent.revision() + " of apply " + sent.applyIdentifier()
                        + " may or may not have been accepted" + failureSuffix(lastFailure)
                        + "; run \"geraniumctl diff\" before another apply";
            case Report.Fleet fleet -> fleet(fleet);
            case Report.CreatedKey(String key, var digest) ->
                "key:    " + key + "\ndigest: " + digest.hexadecimal()
                        + "\nThe key is shown only this once. Give it to the customer and put the digest into key-digests.";
            case Report.Digest(var digest) -> digest.hexadecimal();
            case Report.Warning(String message) -> "warning: " + message;
            case Report.Failed(String message) -> "geraniumctl: " + message;
        };
    }

    static String rollout(long revision, RolloutStatus status) {
        return switch (status) {
            case RolloutStatus.InForce(var down)
            when down.isEmpty() -> "revision " + revision + " is in force on every VM";
            case RolloutStatus.InForce(var down) ->
                "revision " + revision + " is in force on every live VM; down: " + join(down);
            case RolloutStatus.AwaitingVms(var missing) ->
                "revision " + revision + " is held by a majority of the voters, but is not yet in force on: "
                        + join(missing);
            case RolloutStatus.AwaitingMajority(int holding, int needed, var missing) ->
                "revision " + revision + " is held by " + holding + " voters, " + needed
                        + " are needed; not yet in force on: " + join(missing);
        };
    }

    static String failureSuffix(Optional<String> failure) {
        return failure.map(text -> " (last failure: " + text + ")").orElse("");
    }

    private static String conflict(Report.Conflict conflict) {
        String first = "conflict: the change is based on revision " + conflict.baseRevision() + ", but revision "
                + conflict.current().revision() + " of apply "
                + (conflict.current().applyIdentifier().isEmpty()
                        ? "none"
                        : conflict.current().applyIdentifier())
                + " is in force; nothing was changed";
        String second = conflict.changesSinceBase()
                .map(changes -> "changed since revision " + conflict.baseRevision() + ":\n" + formatChanges(changes))
                .orElse("run \"geraniumctl diff\" to see what the file changes against it");
        return first + "\n" + second;
    }

    private static String fleet(Report.Fleet fleet) {
        List<String> lines = new ArrayList<>();
        Manifest manifest = fleet.manifest();
        lines.add("configuration: revision " + manifest.revision()
                + (manifest.revision() == 0 ? ", none applied yet" : ", apply " + manifest.applyIdentifier()));
        lines.add("roster: revision " + fleet.roster().revision() + ", "
                + fleet.roster().vms().size() + " VMs");
        fleet.roster().vms().forEach(vm -> lines.add(vm(fleet, vm)));
        fleet.answers().stream()
                .flatMap(answer -> answer.groups().stream())
                .filter(group -> !group.primary().isEmpty())
                .distinct()
                .sorted(Comparator.comparing(NodeStatus.GroupState::group))
                .forEach(group -> lines.add("group " + group.group() + ": primary " + group.primary() + ", term "
                        + group.term() + ", coordinator " + group.coordinator()));
        return String.join("\n", lines);
    }

    private static String vm(Report.Fleet fleet, Vm vm) {
        String head = "VM " + vm.name() + " (" + vm.address() + ", " + vm.region() + "/" + vm.failureDomain()
                + (vm.leaving() ? ", leaving" : "") + "): ";
        return head
                + fleet.answers().stream()
                        .filter(answer -> answer.vm().equals(vm.name()))
                        .findFirst()
                        .map(TextReports::answer)
                        .orElseGet(() -> "no answer: " + fleet.failures().getOrDefault(vm.name(), "unknown failure"));
    }

    private static String answer(NodeStatus status) {
        String age = status.viewAge()
                .map(duration -> "view age " + duration.toMillis() + " ms")
                .orElse("no view");
        return "revision " + status.configurationRevision() + ", roster " + status.rosterRevision() + ", " + age
                + (status.ready() ? ", ready" : ", not ready");
    }

    private static String formatChanges(List<ConfigurationChange> changes) {
        return changes.stream().map(ChangeMessages::of).map(text -> "  " + text).collect(Collectors.joining("\n"));
    }

    private static String join(Collection<?> names) {
        return names.stream().map(Object::toString).collect(Collectors.joining(", "));
    }
}
