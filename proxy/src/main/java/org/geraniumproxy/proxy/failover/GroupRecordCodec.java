package org.geraniumproxy.proxy.failover;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.geraniumproxy.core.failover.GroupRecord;
import org.geraniumproxy.core.identity.BackendServerName;
import org.geraniumproxy.core.identity.GroupName;
import org.geraniumproxy.core.identity.Term;
import org.geraniumproxy.core.identity.TermStart;
import org.geraniumproxy.core.identity.VmName;

/** Text form of a group record: one {@code name=value} per line, readable by operators in the store. */
final class GroupRecordCodec {
    private GroupRecordCodec() {}

    static ByteString encode(GroupRecord groupRecord) {
        String starts = groupRecord.termStarts().stream()
                .map(start -> start.term().number() + ":" + start.position())
                .collect(Collectors.joining(","));
        return ByteString.copyFromUtf8("term=" + groupRecord.term().number() + "\nprimary="
                + groupRecord.primary().map(BackendServerName::value).orElse("") + "\npromoter="
                + groupRecord.promoter() + "\nterm-starts=" + starts + "\n");
    }

    /**
     * Decodes a record.
     *
     * @throws IllegalArgumentException if the text is not a valid group record
     */
    static GroupRecord decode(GroupName group, ByteString value) {
        Map<String, String> fields = new HashMap<>();
        value.toStringUtf8().lines().forEach(line -> {
            int separator = line.indexOf('=');
            if (separator < 0) {
                throw new IllegalArgumentException("invalid group record: a line has no '='");
            }
            fields.put(line.substring(0, separator), line.substring(separator + 1));
        });
        Optional<BackendServerName> primary = Optional.of(field(fields, "primary"))
                .filter(name -> !name.isEmpty())
                .map(BackendServerName::of);
        return new GroupRecord(
                group,
                Term.of(Long.parseLong(field(fields, "term"))),
                primary,
                VmName.of(field(fields, "promoter")),
                termStarts(field(fields, "term-starts")));
    }

    private static List<TermStart> termStarts(String text) {
        return Stream.of(text.split(",", -1))
                .filter(part -> !part.isEmpty())
                .map(GroupRecordCodec::termStart)
                .toList();
    }

    private static TermStart termStart(String text) {
        int separator = text.indexOf(':');
        if (separator < 0) {
            throw new IllegalArgumentException("invalid group record: a term start has no ':'");
        }
        return new TermStart(
                Term.of(Long.parseLong(text.substring(0, separator))), Long.parseLong(text.substring(separator + 1)));
    }

    private static String field(Map<String, String> fields, String name) {
        String value = fields.get(name);
        if (value == null) {
            throw new IllegalArgumentException("invalid group record: field " + name + " is missing");
        }
        return value;
    }
}
