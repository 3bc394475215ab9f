/** Rate limits of customers: shares per VM and the lending of tokens between VMs. */
package org.geraniumproxy.core.limit;
