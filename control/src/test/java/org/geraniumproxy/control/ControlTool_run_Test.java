package org.geraniumproxy.control;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import com.google.gson.JsonObject;
import com.google.gson.JsonParser;
import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import org.geraniumproxy.core.configuration.KeyDigest;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Guards against changes to the exit codes and output formats that operators' scripts depend on. */
@Timeout(60)
class ControlTool_run_Test {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    @TempDir
    private Path folder;

    @Test
    void should_report_usage_errors() {
        assertThat(run("", "aply"), is(ExitCode.USAGE_ERROR));
        assertThat(run(""), is(ExitCode.USAGE_ERROR));
        assertThat(run("", "apply", "file.toml", "--store", "127.0.0.1:1"), is(ExitCode.USAGE_ERROR));
        assertThat(run("", "check", folder.resolve("absent.toml").toString()), is(ExitCode.USAGE_ERROR));
        assertThat(run("", "status", "--store", "127.0.0.1:1", "--timeout", "2"), is(ExitCode.USAGE_ERROR));
        assertThat(run("", "status", "--store", "127.0.0.1:1"), is(ExitCode.USAGE_ERROR));
        assertThat(text(err), containsString("--base-revision"));
        assertThat(text(err), containsString("or --plain-text alone"));
    }

    @Test
    void should_show_help() {
        assertThat(run("", "--help"), is(ExitCode.SUCCESS));
        assertThat(run("", "apply", "--help"), is(ExitCode.SUCCESS));
        assertThat(text(out), containsString("Exit codes: 0 success"));
        assertThat(text(out), containsString("--base-revision"));
    }

    @Test
    void should_check_a_file_in_both_formats() throws IOException {
        // given
        String correct = file(ExampleConfiguration.withRate(10));
        assertThat(run("", "check", correct), is(ExitCode.SUCCESS));
        String wrong = file(ExampleConfiguration.withRate(-1));

        // when
        assertThat(run("", "check", wrong, "--format", "json"), is(ExitCode.REFUSED));

        // then
        String line = text(out).lines().reduce((first, second) -> second).orElseThrow();
        JsonObject finding = JsonParser.parseString(line)
                .getAsJsonObject()
                .getAsJsonArray("findings")
                .get(0)
                .getAsJsonObject();
        assertThat(finding.get("line").getAsInt(), equalTo(3));
        assertThat(finding.get("message").getAsString(), startsWith("\"rate\" is -1; expected a number above 0"));
    }

    @Test
    void should_create_keys_whose_digest_it_prints() {
        // given
        assertThat(run("", "keys", "create", "--format", "json"), is(ExitCode.SUCCESS));
        JsonObject created = JsonParser.parseString(text(out)).getAsJsonObject();
        String key = created.get("key").getAsString();
        out.reset();

        // when
        assertThat(run(key + "\n", "keys", "digest"), is(ExitCode.SUCCESS));

        // then
        assertThat(text(out).strip(), equalTo(KeyDigest.ofKey(key).hexadecimal()));
        assertThat(text(out).strip(), equalTo(created.get("digest").getAsString()));
    }

    @Test
    void should_diff_and_show_the_fleet() throws IOException {
        try (ControlTestEnvironment environment = ControlTestEnvironment.start()) {
            // given
            environment.addVms("a", "b");
            environment
                    .apply(ExampleConfiguration.withRate(10), 0, "first", Duration.ZERO)
                    .join();
            String changed = file(ExampleConfiguration.withRate(20));

            // when
            ExitCode diff = environment.run("diff", changed, "--store", "127.0.0.1:1", "--plain-text");
            ExitCode status = environment.status().join();

            // then
            assertThat(diff, is(ExitCode.SUCCESS));
            assertThat(
                    environment.text(),
                    containsString("~ customer troupes: rate 10.0/s, burst 5, weight 1 -> rate 20.0/s"));
            assertThat(status, is(ExitCode.SUCCESS));
            assertThat(
                    environment.text(),
                    containsString("configuration: revision 1, apply first\nroster: revision 1, 2 VMs"));
        }
    }

    private String file(String text) throws IOException {
        return Files.writeString(Files.createTempFile(folder, "configuration", ".toml"), text)
                .toString();
    }

    private ExitCode run(String input, String... arguments) {
        ByteArrayInputStream in = new ByteArrayInputStream(input.getBytes(StandardCharsets.UTF_8));
        return new ControlTool(
                        CommandContext::connectTcp,
                        in,
                        new PrintStream(out, true, StandardCharsets.UTF_8),
                        new PrintStream(err, true, StandardCharsets.UTF_8))
                .run(arguments);
    }

    private static String text(ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8);
    }
}
