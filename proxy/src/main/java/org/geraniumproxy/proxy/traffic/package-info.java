/** The path of a request through a proxy, without any encoding: the entry proxy's part and the coordinator's part. */
package org.geraniumproxy.proxy.traffic;
