/** Starts and stops deployments of real processes on the loopback interface: stand-ins and proxies. */
package org.geraniumproxy.measure.bench;
