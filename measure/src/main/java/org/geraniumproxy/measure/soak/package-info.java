/** Long series of seeded random runs. */
package org.geraniumproxy.measure.soak;
