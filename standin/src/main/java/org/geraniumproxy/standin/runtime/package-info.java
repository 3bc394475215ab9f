/** Executors, fault injection and reply streams that all stand-ins use. */
package org.geraniumproxy.standin.runtime;
