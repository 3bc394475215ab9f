package org.geraniumproxy.proxy.store;

import org.geraniumproxy.core.identity.GroupName;

/** Keys of the platform's store. */
public final class StoreKeys {
    /** Key of the manifest that names the current configuration. */
    public static final String MANIFEST = "configuration/manifest";

    /** Key of the roster. */
    public static final String ROSTER = "roster";

    private StoreKeys() {}

    /**
     * Returns the key of a configuration text.
     *
     * @param contentDigest SHA-256 digest of the text
     * @return the key
     */
    public static String content(String contentDigest) {
        return "configuration/content/" + contentDigest;
    }

    /**
     * Returns the key of the published record of a group.
     *
     * @param group the group
     * @return the key
     */
    public static String group(GroupName group) {
        return "group/" + group.value();
    }
}
