package org.geraniumproxy.proxy.store;

import org.geraniumproxy.core.identity.GroupName;

/** Keys under which proxies and the operators' tool keep their data in the platform's store. */
public final class StoreKeys {
    /** Key of the manifest that names the current configuration. */
    public static final String MANIFEST = "configuration/manifest";

    /** Key of the roster, the list of VMs that run a proxy. */
    public static final String ROSTER = "roster";

    private StoreKeys() {}

    /**
     * Returns the key of a configuration text.
     *
     * @param contentDigest SHA-256 digest of the text
     * @return the key, which depends only on the text
     */
    public static String content(String contentDigest) {
        return "configuration/content/" + contentDigest;
    }

    /**
     * Returns the key of the published record of a group.
     *
     * @param group name of the group
     * @return the key, which coordinator and standby write
     */
    public static String group(GroupName group) {
        return "group/" + group.value();
    }
}
