/** Rate shares of customers and the lending of tokens between VMs. */
package org.geraniumproxy.core.limit;
