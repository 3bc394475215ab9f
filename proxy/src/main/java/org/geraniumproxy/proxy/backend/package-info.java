/** Client of the backend servers. */
package org.geraniumproxy.proxy.backend;
