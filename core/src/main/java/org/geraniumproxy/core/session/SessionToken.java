package org.geraniumproxy.core.session;

import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;

/**
 * What a session has written and read in all groups. The caller keeps it as opaque text.
 *
 * <pre>{@code
 * SessionToken token = SessionToken.start(customer).with(group, requirement);
 * String text = token.encode();
 * }</pre>
 *
 * @param customer the customer that the session belongs to
 * @param requirements the requirement of each group that the session has used
 */
public record SessionToken(CustomerName customer, Map<GroupName, SessionRequirement> requirements) {
    /** Greatest number of groups in one token, so that the text stays below {@link #MAXIMUM_TEXT_LENGTH}. */
    public static final int MAXIMUM_GROUPS = 256;

    /** Greatest length of the text of a token: 256 groups with names of 256 bytes each take 102,000 characters. */
    public static final int MAXIMUM_TEXT_LENGTH = 128 * 1024;

    /**
     * Copies the requirements.
     *
     * @throws IllegalArgumentException if there are more than {@link #MAXIMUM_GROUPS}
     */
    public SessionToken {
        requirements = Map.copyOf(requirements);
        if (requirements.size() > MAXIMUM_GROUPS) {
            throw new IllegalArgumentException(
                    "a session may use " + MAXIMUM_GROUPS + " groups, but uses " + requirements.size());
        }
    }

    /**
     * Returns the token of a new session.
     *
     * @param customer the customer
     * @return the token without requirements
     */
    public static SessionToken forNewSession(CustomerName customer) {
        return new SessionToken(customer, Map.of());
    }

    /**
     * Returns what the session has written and read in a group.
     *
     * @param group the group
     * @return the requirement, {@link SessionRequirement#NONE} if the session has not used the group
     */
    public SessionRequirement requirementOf(GroupName group) {
        return requirements.getOrDefault(group, SessionRequirement.NONE);
    }

    /**
     * Tells whether the token can hold the requirement of a group. Ask before the request runs.
     *
     * @param group the group
     * @return true if {@link #with} accepts the group
     */
    public boolean hasCapacityFor(GroupName group) {
        return requirements.containsKey(group) || requirements.size() < MAXIMUM_GROUPS;
    }

    /**
     * Returns a token with the requirement of one group replaced.
     *
     * @param group the group
     * @param requirement the new requirement
     * @return the new token
     * @throws IllegalArgumentException if the token has no room for the group
     */
    public SessionToken with(GroupName group, SessionRequirement requirement) {
        Map<GroupName, SessionRequirement> changed = new HashMap<>(requirements);
        changed.put(group, requirement);
        return new SessionToken(customer, changed);
    }

    /**
     * Encodes the token as URL-safe text.
     *
     * @return the text
     */
    public String encode() {
        return SessionTokenEncoding.encode(this);
    }

    /**
     * Decodes a token. An empty text is a new session.
     *
     * @param text the text that the caller sent
     * @param customer the customer that the caller has been authenticated as
     * @return the token, or why it is refused
     */
    public static TokenDecoding decode(String text, CustomerName customer) {
        return text.isEmpty()
                ? new TokenDecoding.Decoded(forNewSession(customer))
                : SessionTokenEncoding.decode(text, customer);
    }
}
