/** Replacement of primaries whose databases themselves confirm commits on replicas: evidence, choice, orders. */
package org.geraniumproxy.core.promotion;
