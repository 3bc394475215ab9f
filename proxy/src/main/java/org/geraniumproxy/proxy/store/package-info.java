/** Client of the platform's key-value store. */
package org.geraniumproxy.proxy.store;
