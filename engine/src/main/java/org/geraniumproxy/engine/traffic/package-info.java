/** Sessions, connections to databases and rate gates on the traffic thread. */
package org.geraniumproxy.engine.traffic;
