/** Requests, the choice of a coordinator and the choice between replica and primary. */
package org.geraniumproxy.core.routing;
