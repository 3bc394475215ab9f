/** Assembly of a node and its command line. */
package org.geraniumproxy.proxy.node;
