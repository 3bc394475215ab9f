/** Seeded soak of real node processes around SIGTERM, SIGHUP, restarts and configuration changes. */
package org.geraniumproxy.measure.stop;
