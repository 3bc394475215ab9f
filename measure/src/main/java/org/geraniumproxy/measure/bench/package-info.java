/** A deployment of real processes on loopback: stand-ins, proxies and a configuration. */
package org.geraniumproxy.measure.bench;
