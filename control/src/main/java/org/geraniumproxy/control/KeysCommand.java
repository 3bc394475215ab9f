package org.geraniumproxy.control;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Base64;
import org.geraniumproxy.core.configuration.KeyDigest;

/** Creates API keys and computes their digests. Keys are never stored. */
final class KeysCommand {
    /** 256 random bits can't be guessed, so an unsalted digest is sufficient. */
    private static final int KEY_BYTES = 32;

    private KeysCommand() {}

    static ExitCode run(String action, InputStream in, Output output) {
        return switch (action) {
            case "create" -> create(output);
            case "digest" -> digest(in, output);
            default -> throw new UsageException("keys needs create or digest, but found: " + action);
        };
    }

    private static ExitCode create(Output output) {
        byte[] random = new byte[KEY_BYTES];
        new SecureRandom().nextBytes(random);
        String key = Base64.getUrlEncoder().withoutPadding().encodeToString(random);
        output.show(new Report.CreatedKey(key, KeyDigest.ofKey(key)));
        return ExitCode.SUCCESS;
    }

    private static ExitCode digest(InputStream in, Output output) {
        String key = readLine(in).strip();
        if (key.isEmpty()) {
            throw new UsageException("no key on the first line of standard input");
        }
        output.show(new Report.Digest(KeyDigest.ofKey(key)));
        return ExitCode.SUCCESS;
    }

    private static String readLine(InputStream in) {
        try {
            String line = new BufferedReader(new InputStreamReader(in, StandardCharsets.UTF_8)).readLine();
            return line == null ? "" : line;
        } catch (IOException e) {
            throw new UsageException("standard input can't be read", e);
        }
    }
}
