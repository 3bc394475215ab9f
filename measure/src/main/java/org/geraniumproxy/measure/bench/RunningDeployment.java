package org.geraniumproxy.measure.bench;

import java.io.IOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.time.Clock;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.geraniumproxy.measure.load.ProxyChannels;

/** Deployment of real processes on the loopback interface. Closing it stops each process that it started. */
public final class RunningDeployment implements AutoCloseable {
    /** Maximum time for a process to start and for the fleet to become ready; allows for a busy machine. */
    private static final Duration START_TIMEOUT = Duration.ofSeconds(30);

    private static final Duration READY_POLL_INTERVAL = Duration.ofMillis(100);

    /** 256 bits. */
    private static final int KEY_BYTES = 32;

    private final Deployment deployment;
    private final Addresses addresses;
    private final Map<String, String> keys;
    private final Workspace workspace;
    private final List<ManagedProcess> processes = new ArrayList<>();
    private final DatabaseClients databases;

    private RunningDeployment(Deployment deployment, Workspace workspace) {
        this.deployment = deployment;
        this.workspace = workspace;
        this.addresses = Addresses.allocate(deployment);
        this.keys = generateKeys(deployment);
        this.databases = new DatabaseClients(deployment, addresses);
    }

    /**
     * Starts stand-ins and proxies, applies the configuration and waits until every proxy is ready and every group has
     * a primary.
     *
     * @param deployment sizes and names
     * @param detectionTimeout fixed timeout after which a primary is suspected, empty for adaptive detection
     * @return the running deployment
     * @throws DeploymentException if a process fails or is not ready in time
     * @throws InterruptedException if the thread is interrupted
     */
    public static RunningDeployment start(Deployment deployment, Optional<Duration> detectionTimeout)
            throws InterruptedException {
        RunningDeployment running = new RunningDeployment(deployment, Workspace.create());
        try {
            running.startStandins();
            running.startProxies(detectionTimeout);
            running.awaitHealth("/live");
            running.applyConfiguration();
            running.awaitHealth("/ready");
            running.awaitPrimaries();
            return running;
        } catch (RuntimeException | InterruptedException e) {
            running.close();
            throw e;
        }
    }

    /**
     * Returns the sizes and names of the deployment.
     *
     * @return the description that the deployment was started with
     */
    public Deployment deployment() {
        return deployment;
    }

    /**
     * Returns clients of the databases that bypass the proxies.
     *
     * @return clients, which are closed with the deployment
     */
    public DatabaseClients databases() {
        return databases;
    }

    /**
     * Returns the key of each customer.
     *
     * @return keys by name of the customer
     */
    public Map<String, String> keys() {
        return keys;
    }

    /**
     * Opens channels to the caller ports of all proxies.
     *
     * @return new channels, which the caller must close
     */
    public ProxyChannels openProxies() {
        return ProxyChannels.openPlainText(
                addresses.vms().stream().map(Addresses.VmAddresses::caller).toList());
    }

    /**
     * Returns descriptions of the processes that have ended unexpectedly.
     *
     * @return one message with name and output per process
     */
    public List<String> endedProcesses() {
        return processes.stream()
                .filter(process -> !process.isAlive())
                .map(process -> process.name() + " has ended; its output:\n" + process.output())
                .toList();
    }

    /**
     * Returns the outputs of the proxies.
     *
     * @return one output per proxy, in name order
     */
    public List<String> proxyOutputs() {
        return processes.stream()
                .filter(process -> process.name().startsWith("vm-"))
                .map(ManagedProcess::output)
                .toList();
    }

    /**
     * Keeps the settings, the configuration and the logs when the deployment is closed.
     *
     * @return folder of the files
     */
    public Path keepFiles() {
        return workspace.keep();
    }

    @Override
    public void close() {
        databases.close();
        processes.reversed().forEach(ManagedProcess::requestStop);
        processes.reversed().forEach(ManagedProcess::close);
        workspace.close();
    }

    private void startStandins() throws InterruptedException {
        List<String> arguments = new ArrayList<>(List.of(
                "--store", addresses.store(),
                "--vm-list", addresses.vmList(),
                "--slots", Integer.toString(deployment.slots()),
                "--connections", Integer.toString(deployment.maximumConnections()),
                "--connection-cost-millis",
                        Long.toString(deployment.connectionSetupTime().toMillis()),
                "--replication-lag-millis",
                        Long.toString(deployment.replicationLag().toMillis())));
        addresses.vms().forEach(vm -> arguments.addAll(List.of("--vm", vm.name())));
        addresses.databases().forEach((name, address) -> arguments.addAll(List.of("--database", name + "=" + address)));
        ManagedProcess standins = workspace.start("standin", "standin", arguments);
        processes.add(standins);
        standins.awaitOutput("standin: ready", START_TIMEOUT);
    }

    private void startProxies(Optional<Duration> detectionTimeout) {
        for (int i = 0; i < addresses.vms().size(); i++) {
            String name = addresses.vms().get(i).name();
            String text = DeploymentFiles.settings(deployment, addresses, i, detectionTimeout);
            Path settings = workspace.write(name + ".toml", text);
            processes.add(workspace.start(name, "geraniumproxy", List.of("run", "--settings", settings.toString())));
        }
    }

    private void applyConfiguration() throws InterruptedException {
        String text = DeploymentFiles.configuration(deployment, addresses, keys);
        Path file = workspace.write("configuration.toml", text);
        List<String> arguments =
                List.of("apply", file.toString(), "--store", addresses.store(), "--plain-text", "--base-revision", "0");
        try (ManagedProcess control = workspace.start("geraniumctl", "geraniumctl", arguments)) {
            control.awaitSuccess(START_TIMEOUT);
        }
    }

    private void awaitHealth(String path) throws InterruptedException {
        Deadline deadline = Deadline.after(Clock.systemUTC(), START_TIMEOUT);
        try (HttpClient client = HttpClient.newHttpClient()) {
            for (Addresses.VmAddresses vm : addresses.vms()) {
                while (!isHealthy(client, vm.metrics(), path)) {
                    checkProgress(deadline, vm.name() + " does not answer " + path);
                    Thread.sleep(READY_POLL_INTERVAL);
                }
            }
        }
    }

    private void awaitPrimaries() throws InterruptedException {
        Deadline deadline = Deadline.after(Clock.systemUTC(), START_TIMEOUT);
        for (String group : deployment.groups()) {
            while (databases.primary(group).isEmpty()) {
                checkProgress(deadline, group + " has no primary");
                Thread.sleep(READY_POLL_INTERVAL);
            }
        }
    }

    private void checkProgress(Deadline deadline, String failure) {
        List<String> ended = endedProcesses();
        if (!ended.isEmpty()) {
            throw new DeploymentException(String.join("\n", ended));
        }
        if (deadline.hasPassed()) {
            throw new DeploymentException(failure + "; output of the proxies:\n" + String.join("\n", proxyOutputs()));
        }
    }

    private static boolean isHealthy(HttpClient client, String address, String path) throws InterruptedException {
        HttpRequest request = HttpRequest.newBuilder(URI.create("http://" + address + path))
                .timeout(Duration.ofSeconds(1))
                .build();
        try {
            return client.send(request, HttpResponse.BodyHandlers.discarding()).statusCode() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    private static Map<String, String> generateKeys(Deployment deployment) {
        SecureRandom random = new SecureRandom();
        Map<String, String> keys = new HashMap<>();
        for (Deployment.CustomerProfile customer : deployment.customers()) {
            byte[] key = new byte[KEY_BYTES];
            random.nextBytes(key);
            keys.put(customer.name(), HexFormat.of().formatHex(key));
        }
        return Map.copyOf(keys);
    }
}
