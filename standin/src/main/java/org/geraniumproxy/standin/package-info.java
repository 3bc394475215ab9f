/** Stand-ins of the platform for tests and measurements: databases, the key-value store and the VM list. */
package org.geraniumproxy.standin;
