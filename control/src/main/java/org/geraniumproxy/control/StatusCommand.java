package org.geraniumproxy.control;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.configuration.Manifest;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;

/** Shows the active revision, the roster and the status of each VM. */
final class StatusCommand {
    private StatusCommand() {}

    static CompletableFuture<ExitCode> run(CommandContext context, Output output) {
        ConfigurationStore store = context.store();
        return store.readManifest()
                .thenCompose(manifest ->
                        store.readRoster().thenCompose(roster -> queryAll(context, manifest.manifest(), roster)))
                .handle((fleet, failure) -> {
                    if (failure != null) {
                        output.show(
                                new Report.Failed("the store could not be read: " + CallFailures.describe(failure)));
                        return ExitCode.UNREACHABLE;
                    }
                    output.show(fleet);
                    return fleet.failures().isEmpty() ? ExitCode.SUCCESS : ExitCode.UNREACHABLE;
                });
    }

    private static CompletableFuture<Report.Fleet> queryAll(CommandContext context, Manifest manifest, Roster roster) {
        List<CompletableFuture<QueryResult>> answers =
                roster.vms().stream().map(vm -> query(context, vm)).toList();
        return CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new))
                .thenApply(ignored -> fleet(
                        manifest,
                        roster,
                        answers.stream().map(CompletableFuture::join).toList()));
    }

    private static CompletableFuture<QueryResult> query(CommandContext context, Vm vm) {
        return context.nodes()
                .status(vm)
                .handle((status, failure) -> failure == null
                        ? new QueryResult(vm.name(), Optional.of(status), "")
                        : new QueryResult(vm.name(), Optional.empty(), CallFailures.describe(failure)));
    }

    private static Report.Fleet fleet(Manifest manifest, Roster roster, List<QueryResult> answers) {
        Map<VmName, String> failures = new TreeMap<>();
        answers.stream()
                .filter(answer -> answer.status().isEmpty())
                .forEach(answer -> failures.put(answer.vm(), answer.failure()));
        List<NodeStatus> statuses =
                answers.stream().flatMap(answer -> answer.status().stream()).toList();
        return new Report.Fleet(manifest, roster, statuses, failures);
    }

    /**
     * Result of a status query.
     *
     * @param vm name of the VM
     * @param status its status, empty if the query failed
     * @param failure reason of the failure, empty if the query succeeded
     */
    private record QueryResult(VmName vm, Optional<NodeStatus> status, String failure) {}
}
