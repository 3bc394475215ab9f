/**
 * Callers with sessions that move between proxies, records of their requests, and checks of the observable guarantees.
 */
package org.geraniumproxy.measure.load;
