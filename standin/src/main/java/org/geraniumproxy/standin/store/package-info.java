/** Stand-in for the platform's key-value store. */
package org.geraniumproxy.standin.store;
