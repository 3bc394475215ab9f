/** gRPC channels and servers, in plain text or with TLS certificates that are reloaded when their files change. */
package org.geraniumproxy.proxy.transport;
