package org.geraniumproxy.core.service;

import java.util.Collection;
import java.util.Set;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.geraniumproxy.core.identity.RegionName;

/**
 * Regions in which statements of a route or customer may run. The names stand as the operator wrote them: a name that
 * no region has allows nothing, and must not make the set empty, which would allow all regions.
 *
 * <p>Example: {@code new AllowedRegions(Set.of("lima")).allows(RegionName.of("cusco"))} is false.
 *
 * @param names names of regions, empty if all regions are allowed
 */
public record AllowedRegions(Set<String> names) {
    /** All regions are allowed. */
    public static final AllowedRegions ALL = new AllowedRegions(Set.of());

    /** Makes an unmodifiable copy of the names. */
    public AllowedRegions {
        names = Set.copyOf(names);
    }

    /**
     * Returns whether every region is allowed, also one whose name is not known.
     *
     * @return true if no name is given
     */
    public boolean allowsAll() {
        return names.isEmpty();
    }

    /**
     * Returns whether a region is allowed.
     *
     * @param region name of the region
     * @return true if the region is named, or if none is
     */
    public boolean allows(RegionName region) {
        return names.isEmpty() || names.contains(region.value());
    }

    /**
     * Returns the names that no region has.
     *
     * @param regions known regions
     * @return names in their natural order
     */
    public Set<String> unknown(Collection<RegionName> regions) {
        Set<String> unknown = new TreeSet<>(names);
        unknown.removeAll(regions.stream().map(RegionName::value).collect(Collectors.toSet()));
        return unknown;
    }
}
