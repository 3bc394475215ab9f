package org.geraniumproxy.control;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import org.geraniumproxy.core.configuration.Manifest;
import org.geraniumproxy.core.configuration.StoredManifest;
import org.geraniumproxy.core.identity.FailureDomain;
import org.geraniumproxy.core.identity.RegionName;
import org.geraniumproxy.core.identity.VmName;
import org.geraniumproxy.core.membership.Roster;
import org.geraniumproxy.core.membership.Vm;
import org.geraniumproxy.protocol.ConfigurationContent;
import org.geraniumproxy.protocol.VmRecord;

/** Keys and encoding of configuration and roster in the store. */
final class StoreEncoding {
    static final String MANIFEST_KEY = "configuration/manifest";
    static final String ROSTER_KEY = "roster";
    private static final String CONTENT_PREFIX = "configuration/content/";

    private StoreEncoding() {}

    static String contentKey(String contentDigest) {
        return CONTENT_PREFIX + contentDigest;
    }

    static ByteString encode(Manifest manifest) {
        return ConfigurationContent.newBuilder()
                .setRevision(manifest.revision())
                .setApplyIdentifier(manifest.applyIdentifier())
                .setContentDigest(manifest.contentDigest())
                .build()
                .toByteString();
    }

    /**
     * Decodes a manifest.
     *
     * @param stored the value of {@link #MANIFEST_KEY}
     * @return the manifest, {@link StoredManifest#ABSENT} if the key is absent
     * @throws IllegalArgumentException if the value is not a valid manifest
     */
    static StoredManifest decodeManifest(KeyValueStore.StoredValue stored) {
        if (!stored.isPresent()) {
            return StoredManifest.ABSENT;
        }
        try {
            ConfigurationContent content = ConfigurationContent.parseFrom(stored.value());
            return new StoredManifest(
                    stored.revision(),
                    new Manifest(content.getRevision(), content.getApplyIdentifier(), content.getContentDigest()));
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the store holds no valid manifest under " + MANIFEST_KEY, e);
        }
    }

    /**
     * Decodes a roster.
     *
     * @param stored the value of {@link #ROSTER_KEY}
     * @return the roster, {@link Roster#EMPTY} if the key is absent
     * @throws IllegalArgumentException if the value is not a valid roster
     */
    static Roster decodeRoster(KeyValueStore.StoredValue stored) {
        if (!stored.isPresent()) {
            return Roster.EMPTY;
        }
        try {
            org.geraniumproxy.protocol.Roster roster = org.geraniumproxy.protocol.Roster.parseFrom(stored.value());
            return new Roster(
                    roster.getRevision(),
                    roster.getVmsList().stream().map(StoreEncoding::decodeVm).toList());
        } catch (InvalidProtocolBufferException e) {
            throw new IllegalArgumentException("the store holds no valid roster under " + ROSTER_KEY, e);
        }
    }

    private static Vm decodeVm(VmRecord record) {
        return new Vm(
                record.getIndex(),
                VmName.of(record.getName()),
                record.getAddress(),
                RegionName.of(record.getRegion()),
                FailureDomain.of(record.getFailureDomain()),
                record.getIncarnation(),
                record.getLeaving());
    }
}
