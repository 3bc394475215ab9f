/** Outcomes of requests, retries and their budget. */
package org.geraniumproxy.core.outcome;
