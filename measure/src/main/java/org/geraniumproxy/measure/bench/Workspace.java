package org.geraniumproxy.measure.bench;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URISyntaxException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Comparator;
import java.util.List;
import java.util.stream.Stream;

/** A temporary folder for one deployment, and the programs of the source tree that this program runs from. */
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
            throw new UncheckedIOException("can't create a temporary folder", e);
        }
    }

    Path write(String name, String text) {
        try {
            return Files.writeString(folder.resolve(name), text);
        } catch (IOException e) {
            throw new UncheckedIOException("can't write " + name, e);
        }
    }

    ManagedProcess start(String name, String program, List<String> arguments) {
        return ManagedProcess.start(name, folder, launcherFolder.resolve(program), arguments);
    }

    /** Leaves the folder in place, so that its logs can be read later. */
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
            throw new UncheckedIOException("can't delete " + folder, e);
        }
    }

    private static void delete(Path file) {
        try {
            Files.delete(file);
        } catch (IOException e) {
            throw new UncheckedIOException("can't delete " + file, e);
        }
    }

    /** The launchers run the measure module from its target folder, which lies in the source tree. */
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
            throw new IllegalStateException("location of the program is no path", e);
        }
        throw new DeploymentException("no folder bin with the launchers above the program");
    }
}
