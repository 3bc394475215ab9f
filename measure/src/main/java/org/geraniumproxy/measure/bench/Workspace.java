package org.geraniumproxy.measure.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** Temporary folder of a deployment, and the launchers of the source tree that contains this program. */
final class Workspace implements AutoCloseable {
    private final Path folder;
    private final Path launcherFolder;
    private boolean keepFolder;

    private Workspace(Path folder, Path launcherFolder) {
        this.folder = folder;
        this.launcherFolder = launcherFolder;
    }

    static Workspace create() {
        try {
            return new Workspace(Files.createTempDirectory("geraniumproxy-"), findLauncherFolder());
        } catch (IOException e) {
            throw new UncheckedIOException("cannot create a temporary folder", e);
        }
    }

    Path write(String name, String text) {
        try {
            return Files.writeString(folder.resolve(name), text);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot write " + name, e);
        }
    }

    ManagedProcess start(String name, String program, List<String> arguments) {
        return ManagedProcess.start(name, folder, launcherFolder.resolve(program), arguments);
    }

    /** Prevents {@link #close()} from deleting the folder. */
    Path keep() {
        keepFolder = true;
        return folder;
    }

    @Override
    public void close() {
        if (keepFolder) {
            return;
        }
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(Workspace::delete);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot delete " + folder, e);
        }
    }

    private static void delete(Path file) {
        try {
            Files.delete(file);
        } catch (IOException e) {
            throw new UncheckedIOException("cannot delete " + file, e);
        }
    }

    /**
     * Searches the parents of the code location, because the measure module runs from its target folder in the source
     * tree.
     */
    private static Path findLauncherFolder() {
        try {
            Path location = Path.of(Workspace.class
                    .getProtectionDomain()
                    .getCodeSource()
                    .getLocation()
                    .toURI());
            for (Path parent = location; parent != null; parent = parent.getParent()) {
                if (Files.isExecutable(parent.resolve("bin").resolve("standin"))) {
                    return parent.resolve("bin");
                }
            }
        } catch (URISyntaxException e) {
            throw new IllegalStateException("the code location is not a file path", e);
        }
        throw new DeploymentException("no parent folder of the program contains bin/standin");
    }
}
