package org.geraniumproxy.measure.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;

/**
 * Loopback addresses of the processes of a deployment.
 *
 * @param store address of the store
 * @param vmList address of the VM list
 * @param databases addresses of the databases by name
 * @param vms addresses of the VMs, in name order
 */
public record Addresses(String store, String vmList, Map<String, String> databases, List<VmAddresses> vms) {
    /**
     * Addresses of one VM.
     *
     * @param name name of the VM
     * @param caller address for callers
     * @param peer address for other VMs
     * @param metrics address of the metrics and health endpoints
     */
    public record VmAddresses(String name, String caller, String peer, String metrics) {}

    /** Makes unmodifiable copies of the collections. */
    public Addresses {
        databases = Map.copyOf(databases);
        vms = List.copyOf(vms);
    }

    /**
     * Allocates a free loopback port for every address of a deployment.
     *
     * @param deployment deployment to allocate ports for
     * @return addresses with distinct ports
     * @throws UncheckedIOException if there are not enough free ports
     */
    public static Addresses allocate(Deployment deployment) {
        List<String> names = deployment.groups().stream()
                .flatMap(group -> deployment.databases(group).stream())
                .toList();
        Iterator<String> freeAddresses =
                freeAddresses(2 + names.size() + 3 * Deployment.VM_COUNT).iterator();
        Map<String, String> databases = new HashMap<>();
        names.forEach(name -> databases.put(name, freeAddresses.next()));
        List<VmAddresses> vms = new ArrayList<>();
        for (int i = 1; i <= Deployment.VM_COUNT; i++) {
            vms.add(new VmAddresses("vm-" + i, freeAddresses.next(), freeAddresses.next(), freeAddresses.next()));
        }
        return new Addresses(freeAddresses.next(), freeAddresses.next(), databases, vms);
    }

    /** Keeps all sockets open until the last one is bound, so that the ports are distinct. */
    private static List<String> freeAddresses(int count) {
        List<ServerSocket> sockets = new ArrayList<>();
        try {
            for (int i = 0; i < count; i++) {
                sockets.add(new ServerSocket(0, 1, InetAddress.getLoopbackAddress()));
            }
            return sockets.stream()
                    .map(socket -> "127.0.0.1:" + socket.getLocalPort())
                    .toList();
        } catch (IOException e) {
            throw new UncheckedIOException("not enough free ports on the loopback interface", e);
        } finally {
            sockets.forEach(Addresses::release);
        }
    }

    private static void release(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException("cannot release a port", e);
        }
    }
}
