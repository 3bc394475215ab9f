/** The proxy module of geraniumproxy. */
package org.geraniumproxy.proxy;
