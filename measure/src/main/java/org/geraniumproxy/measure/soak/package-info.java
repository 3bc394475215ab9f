/** Long series of randomized fault-injection runs with given seeds. */
package org.geraniumproxy.measure.soak;
