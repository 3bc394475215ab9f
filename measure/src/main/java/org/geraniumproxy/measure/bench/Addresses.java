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
 * @param store the store
 * @param vmList the list of VMs
 * @param databases the databases by name
 * @param vms the VMs in order of their names
 */
public record Addresses(String store, String vmList, Map<String, String> databases, List<VmAddresses> vms) {
    /**
     * Addresses of one VM.
     *
     * @param name its name
     * @param caller address for callers
     * @param peer address for other VMs
     * @param metrics address of metrics and health
     */
    public record VmAddresses(String name, String caller, String peer, String metrics) {}

    /** Copies the collections. */
    public Addresses {
        databases = Map.copyOf(databases);
        vms = List.copyOf(vms);
    }

    /**
     * Finds free ports for a deployment.
     *
     * @param deployment the deployment
     * @return the addresses
     * @throws UncheckedIOException if no ports are free
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

    /** Holds all ports at the same time, so that no two of them are equal. */
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
            throw new UncheckedIOException("no free port on loopback", e);
        } finally {
            sockets.forEach(Addresses::release);
        }
    }

    private static void release(ServerSocket socket) {
        try {
            socket.close();
        } catch (IOException e) {
            throw new UncheckedIOException("can't release a port", e);
        }
    }
}
