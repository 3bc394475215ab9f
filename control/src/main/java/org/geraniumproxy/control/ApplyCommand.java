package org.geraniumproxy.control;

import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import org.geraniumproxy.core.configuration.ApplyRequest;
import org.geraniumproxy.core.configuration.ApplyState;
import org.geraniumproxy.core.configuration.ConfigurationDifference;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.geraniumproxy.core.configuration.Manifest;
import org.geraniumproxy.core.configuration.RolloutStatus;
import org.geraniumproxy.core.membership.Roster;

/** Shows the changes in a file, applies them and waits until every live VM uses them. */
final class ApplyCommand {
    private final CommandContext context;
    private final Output output;
    private final ConfigurationFile file;
    private final ApplyRequest request;
    private final Duration rolloutTimeout;

    /**
     * Creates the command.
     *
     * @param context clients of the store and the VMs
     * @param output receives the reports
     * @param file the validated file
     * @param baseRevision revision that the change is based on, zero for the first configuration
     * @param applyIdentifier unique identifier of this apply
     * @param rolloutTimeout maximum wait until all live VMs use the revision, zero to skip the wait
     */
    ApplyCommand(
            CommandContext context,
            Output output,
            ConfigurationFile file,
            long baseRevision,
            String applyIdentifier,
            Duration rolloutTimeout) {
        this.context = context;
        this.output = output;
        this.file = file;
        this.request = new ApplyRequest(applyIdentifier, baseRevision, KeyDigest.sha256(file.toml()));
        this.rolloutTimeout = rolloutTimeout;
    }

    /** Runs the command. The future fails only for internal errors. */
    CompletableFuture<ExitCode> run() {
        return ActiveConfiguration.read(context.store())
                .handle(this::reportReadFailure)
                .thenCompose(current -> current.map(this::applyTo)
                        .orElseGet(() -> CompletableFuture.completedFuture(ExitCode.UNREACHABLE)));
    }

    private Optional<ActiveConfiguration> reportReadFailure(ActiveConfiguration current, Throwable failure) {
        if (failure != null) {
            output.show(new Report.Failed(
                    "the store could not be read, and nothing was changed: " + CallFailures.describe(failure)));
        }
        return Optional.ofNullable(current);
    }

    private CompletableFuture<ExitCode> applyTo(ActiveConfiguration current) {
        if (current.manifest().revision() != request.baseRevision()) {
            output.show(new Report.Conflict(request.baseRevision(), current.manifest(), Optional.empty()));
            return CompletableFuture.completedFuture(ExitCode.REFUSED);
        }
        current.warnIfUnreadable(output);
        output.show(new Report.Changes(
                current.manifest().revision(),
                ConfigurationDifference.between(current.configuration(), file.configuration())));
        return ApplyRunner.run(context.store(), context.eventLoop(), request, file.toml())
                .thenCompose(result -> reportResult(current, result));
    }

    private CompletableFuture<ExitCode> reportResult(ActiveConfiguration base, ApplyRunner.Result result) {
        return switch (result.state()) {
            case ApplyState.Applied(Manifest manifest) -> {
                output.show(new Report.Accepted(manifest));
                yield awaitRollout(manifest.revision());
            }
            case ApplyState.Conflicted(long ignored, Manifest manifest) -> showConflict(base, manifest);
            case ApplyState.NotApplied() -> {
                output.show(new Report.Failed("the store did not answer, and nothing was changed"
                        + TextReports.failureSuffix(result.lastFailure())));
                yield CompletableFuture.completedFuture(ExitCode.UNREACHABLE);
            }
            case ApplyState.OutcomeUnknown(Manifest sent) -> {
                output.show(new Report.OutcomeUnknown(sent, result.lastFailure()));
                yield CompletableFuture.completedFuture(ExitCode.UNREACHABLE);
            }
        };
    }

    private CompletableFuture<ExitCode> showConflict(ActiveConfiguration base, Manifest manifest) {
        return ActiveConfiguration.read(context.store()).handle((current, failure) -> {
            boolean canCompare = failure == null && base.isReadable() && current.isReadable();
            output.show(
                    canCompare
                            ? new Report.Conflict(
                                    request.baseRevision(),
                                    current.manifest(),
                                    Optional.of(ConfigurationDifference.between(
                                            base.configuration(), current.configuration())))
                            : new Report.Conflict(request.baseRevision(), manifest, Optional.empty()));
            return ExitCode.REFUSED;
        });
    }

    private CompletableFuture<ExitCode> awaitRollout(long revision) {
        if (rolloutTimeout.isZero()) {
            return CompletableFuture.completedFuture(ExitCode.SUCCESS);
        }
        return context.store()
                .readRoster()
                .thenCompose(roster -> awaitRollout(revision, roster))
                .handle((status, failure) -> {
                    if (failure != null) {
                        output.show(new Report.Failed("revision " + revision + " is accepted, but the roster could not"
                                + " be read to see where it is in force: " + CallFailures.describe(failure)));
                        return ExitCode.UNREACHABLE;
                    }
                    output.show(new Report.Rollout(revision, status));
                    return status instanceof RolloutStatus.InForce ? ExitCode.SUCCESS : ExitCode.UNREACHABLE;
                });
    }

    private CompletableFuture<RolloutStatus> awaitRollout(long revision, Roster roster) {
        if (roster.vms().isEmpty()) {
            output.show(new Report.Warning("no VM has joined the roster yet"));
        }
        return RolloutMonitor.await(context.nodes(), context.eventLoop(), revision, roster, rolloutTimeout);
    }
}
