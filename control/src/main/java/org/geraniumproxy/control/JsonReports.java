package org.geraniumproxy.control;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;
import java.util.Collection;
import java.util.List;
import org.geraniumproxy.core.configuration.ConfigurationChange;
import org.geraniumproxy.core.configuration.Manifest;
import org.geraniumproxy.core.configuration.RolloutStatus;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.settings.Finding;
import org.geraniumproxy.settings.FindingMessages;

/** Formats reports as JSON objects. The property {@code report} holds the kind of the report. */
final class JsonReports {
    private JsonReports() {}

    static String of(Report report) {
        return toJson(report).toString();
    }

    private static JsonObject toJson(Report report) {
        return switch (report) {
            case Report.Checked checked -> {
                JsonObject object = newReport("checked");
                object.addProperty("file", checked.file());
                object.addProperty("customers", checked.customers());
                object.addProperty("groups", checked.groups());
                object.addProperty("routes", checked.routes());
                yield object;
            }
            case Report.Rejected(var findings) -> {
                JsonObject object = newReport("rejected");
                JsonArray array = new JsonArray();
                findings.forEach(finding -> array.add(finding(finding)));
                object.add("findings", array);
                yield object;
            }
            case Report.Changes(long revision, var changes) -> {
                JsonObject object = newReport("changes");
                object.addProperty("revision", revision);
                object.add("changes", changes(changes));
                yield object;
            }
            case Report.Accepted(Manifest manifest) -> withManifest(newReport("accepted"), manifest);
            case Report.Rollout(long revision, RolloutStatus status) -> rollout(revision, status);
            case Report.Conflict conflict -> {
                JsonObject object = withManifest(newReport("conflict"), conflict.current());
                object.addProperty("baseRevision", conflict.baseRevision());
                conflict.changesSinceBase().ifPresent(changes -> object.add("changesSinceBase", changes(changes)));
                yield object;
            }
            case Report.OutcomeUnknown unknown -> {
                JsonObject object = withManifest(newReport("unknown"), unknown.sent());
                unknown.lastFailure().ifPresent(failure -> object.addProperty("lastFailure", failure));
                yield object;
            }
            case Report.Fleet fleet -> fleet(fleet);
            case Report.CreatedKey(String key, var digest) -> {
                JsonObject object = newReport("key");
                object.addProperty("key", key);
                object.addProperty("digest", digest.hexadecimal());
                yield object;
            }
            case Report.Digest(var digest) -> {
                JsonObject object = newReport("digest");
                object.addProperty("digest", digest.hexadecimal());
                yield object;
            }
            case Report.Warning(String message) -> withMessage("warning", message);
            case Report.Failed(String message) -> withMessage("failed", message);
        };
    }

    private static JsonObject newReport(String name) {
        JsonObject object = new JsonObject();
        object.addProperty("report", name);
        return object;
    }

    private static JsonObject withMessage(String kind, String message) {
        JsonObject object = newReport(kind);
        object.addProperty("message", message);
        return object;
    }

    private static JsonObject withManifest(JsonObject object, Manifest manifest) {
        object.addProperty("revision", manifest.revision());
        object.addProperty("applyIdentifier", manifest.applyIdentifier());
        object.addProperty("contentDigest", manifest.contentDigest());
        return object;
    }

    private static JsonObject finding(Finding finding) {
        JsonObject object = new JsonObject();
        object.addProperty("file", finding.position().file());
        object.addProperty("line", finding.position().line());
        object.addProperty("column", finding.position().column());
        object.addProperty("problem", finding.problem().getClass().getSimpleName());
        object.addProperty("message", FindingMessages.describe(finding.problem()));
        return object;
    }

    private static JsonArray changes(List<ConfigurationChange> changes) {
        JsonArray array = new JsonArray();
        for (ConfigurationChange change : changes) {
            JsonObject object = new JsonObject();
            object.addProperty("change", change.getClass().getSimpleName());
            object.addProperty("text", ChangeMessages.of(change));
            array.add(object);
        }
        return array;
    }

    private static JsonObject rollout(long revision, RolloutStatus status) {
        JsonObject object = newReport("rollout");
        object.addProperty("revision", revision);
        object.addProperty("status", status.getClass().getSimpleName());
        object.addProperty("message", TextReports.rollout(revision, status));
        switch (status) {
            case RolloutStatus.InForce(var down) -> object.add("down", names(down));
            case RolloutStatus.AwaitingVms(var missing) -> object.add("missing", names(missing));
            case RolloutStatus.AwaitingMajority(int holding, int needed, var missing) -> {
                object.addProperty("holding", holding);
                object.addProperty("needed", needed);
                object.add("missing", names(missing));
            }
        }
        return object;
    }

    private static JsonObject fleet(Report.Fleet fleet) {
        JsonObject object = withManifest(newReport("status"), fleet.manifest());
        object.addProperty("rosterRevision", fleet.roster().revision());
        JsonArray vms = new JsonArray();
        fleet.roster().vms().forEach(vm -> vms.add(vm(fleet, vm)));
        object.add("vms", vms);
        return object;
    }

    private static JsonObject vm(Report.Fleet fleet, Vm vm) {
        JsonObject object = new JsonObject();
        object.addProperty("name", vm.name().value());
        object.addProperty("index", vm.index());
        object.addProperty("address", vm.address());
        object.addProperty("region", vm.region().value());
        object.addProperty("failureDomain", vm.failureDomain().value());
        object.addProperty("leaving", vm.leaving());
        fleet.answers().stream()
                .filter(answer -> answer.vm().equals(vm.name()))
                .forEach(answer -> addAnswer(object, answer));
        if (fleet.failures().containsKey(vm.name())) {
            object.addProperty("failure", fleet.failures().get(vm.name()));
        }
        return object;
    }

    private static void addAnswer(JsonObject object, NodeStatus answer) {
        object.addProperty("configurationRevision", answer.configurationRevision());
        object.addProperty("rosterRevision", answer.rosterRevision());
        answer.viewAge().ifPresent(age -> object.addProperty("viewAgeMillis", age.toMillis()));
        object.addProperty("ready", answer.ready());
        JsonArray groups = new JsonArray();
        for (NodeStatus.GroupState group : answer.groups()) {
            JsonObject entry = new JsonObject();
            entry.addProperty("group", group.group());
            entry.addProperty("term", group.term());
            entry.addProperty("primary", group.primary());
            entry.addProperty("coordinator", group.coordinator());
            groups.add(entry);
        }
        object.add("groups", groups);
        object.add("liveVms", names(answer.liveVms().stream().sorted().toList()));
    }

    private static JsonArray names(Collection<VmName> names) {
        JsonArray array = new JsonArray();
        names.forEach(name -> array.add(name.value()));
        return array;
    }
}
