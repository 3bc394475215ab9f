package org.geraniumproxy.control;

import com.beust.jcommander.Parameter;
import java.io.PrintStream;

/** Options that all commands share. */
final class OutputOptions {
    /** Output formats. */
    enum Format {
        /** Human-readable text. */
        TEXT,
        /** One JSON object per line for each report. */
        JSON
    }

    @Parameter(names = "--format", description = "text, or json for one JSON object per line")
    private Format format = Format.TEXT;

    @Parameter(names = "--help", help = true, description = "shows the options")
    private boolean help;

    boolean help() {
        return help;
    }

    Output output(PrintStream out, PrintStream err) {
        return switch (format) {
            case TEXT -> new Output.Text(out, err);
            case JSON -> new Output.Json(out);
        };
    }
}
