/** Decisions of the proxy, free of input, output, threads and clocks. */
package org.geraniumproxy.core;
