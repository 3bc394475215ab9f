/** Outcomes of requests, and the decision whether to retry them. */
package org.geraniumproxy.core.outcome;
