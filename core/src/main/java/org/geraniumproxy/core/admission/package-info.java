/** Admission of callers' requests at the entry proxy. */
package org.geraniumproxy.core.admission;
