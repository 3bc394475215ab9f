/** Channels and servers of gRPC: plain text, or TLS from files that are read again when they change. */
package org.geraniumproxy.proxy.transport;
