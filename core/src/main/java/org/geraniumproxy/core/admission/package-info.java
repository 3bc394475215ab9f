/** The decision whether a caller's request is taken in at the entry proxy. */
package org.geraniumproxy.core.admission;
