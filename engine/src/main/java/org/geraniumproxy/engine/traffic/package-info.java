/** Sessions, connections to databases and rate limiters on the traffic thread. */
package org.geraniumproxy.engine.traffic;
