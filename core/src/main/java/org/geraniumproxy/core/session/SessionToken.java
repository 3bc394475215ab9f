package org.geraniumproxy.core.session;

import java.util.HashMap;
import java.util.Map;
import org.geraniumproxy.core.identity.CustomerName;
import org.geraniumproxy.core.identity.GroupName;

/**
 * Requirements of a session in all groups that it has used. The caller stores the token as opaque text.
 *
 * <pre>{@code
 * SessionToken token = SessionToken.forNewSession(customer).with(group, requirement);
 * String text = token.encode();
 * }</pre>
 *
 * @param customer customer that the session belongs to
 * @param requirements requirements by group, for each group that the session has used
 */
public record SessionToken(CustomerName customer, Map<GroupName, SessionRequirement> requirements) {
    /** Maximum number of groups in a token, which keeps its text shorter than {@link #MAXIMUM_TEXT_LENGTH}. */
    public static final int MAXIMUM_GROUPS = 256;

    /** Maximum length of the text of a token; 256 groups with names of 256 bytes each take 102,000 characters. */
    public static final int MAXIMUM_TEXT_LENGTH = 128 * 1024;

    /**
     * Makes an unmodifiable copy of the requirements.
     *
     * @throws IllegalArgumentException if there are more than {@link #MAXIMUM_GROUPS} groups
     */
    public SessionToken {
        requirements = Map.copyOf(requirements);
        if (requirements.size() > MAXIMUM_GROUPS) {
            throw new IllegalArgumentException(
                    "a session may use " + MAXIMUM_GROUPS + " groups, but uses " + requirements.size());
        }
    }

    /**
     * Creates the token of a new session.
     *
     * @param customer customer that the session belongs to
     * @return the token without requirements
     */
    public static SessionToken forNewSession(CustomerName customer) {
        return new SessionToken(customer, Map.of());
    }

    /**
     * Returns the requirement of the session in a group.
     *
     * @param group name of the group
     * @return the requirement, {@link SessionRequirement#NONE} if the session has not used the group
     */
    public SessionRequirement requirementOf(GroupName group) {
        return requirements.getOrDefault(group, SessionRequirement.NONE);
    }

    /**
     * Returns whether the token can hold the requirement of a group. Check this before the request runs.
     *
     * @param group name of the group
     * @return true if {@link #with} accepts the group
     */
    public boolean hasCapacityFor(GroupName group) {
        return requirements.containsKey(group) || requirements.size() < MAXIMUM_GROUPS;
    }

    /**
     * Returns a copy of the token with a new requirement for one group.
     *
     * @param group name of the group
     * @param requirement the new requirement
     * @return the new token
     * @throws IllegalArgumentException if the token has no capacity for the group
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
     * Decodes a token. An empty text denotes a new session.
     *
     * @param text text that the caller sent
     * @param customer customer that the caller was authenticated as
     * @return the token, or the reason of its refusal
     */
    public static TokenDecoding decode(String text, CustomerName customer) {
        return text.isEmpty()
                ? new TokenDecoding.Decoded(forNewSession(customer))
                : SessionTokenEncoding.decode(text, customer);
    }
}
