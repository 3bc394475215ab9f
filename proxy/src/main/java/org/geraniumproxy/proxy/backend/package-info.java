/** Connections and calls to the backend servers. */
package org.geraniumproxy.proxy.backend;
