package org.geraniumproxy.control;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStream;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.security.SecureRandom;
import java.util.Base64;
import org.geraniumproxy.core.configuration.KeyDigest;

/** Creates keys and computes digests. A key is shown or read once and kept nowhere. */
final class KeysCommand {
    /** 256 random bits can't be guessed, so that a plain digest without salt protects them. */
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
            throw new UsageException("standard input holds no key on its first line");
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
