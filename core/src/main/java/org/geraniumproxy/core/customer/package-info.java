/** Keys of customers and their verification. */
package org.geraniumproxy.core.customer;
