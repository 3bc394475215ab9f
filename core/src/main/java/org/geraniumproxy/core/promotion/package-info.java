/**
 * Replacement of primaries in groups whose replicas confirm commits: evidence, choice of a database, promotion
 * requests.
 */
package org.geraniumproxy.core.promotion;
