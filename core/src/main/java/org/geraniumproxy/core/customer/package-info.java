/** Authentication of customers by key. */
package org.geraniumproxy.core.customer;
