/** Requests to a database group, selection of its coordinator, and placement of reads on replicas or the primary. */
package org.geraniumproxy.core.routing;
