/** Callers with roaming sessions, the record of what they were told, and checks of the guarantees that they can see. */
package org.geraniumproxy.measure.load;
