/** Rate limiter of this VM, which lends tokens to other VMs and borrows from them. */
package org.geraniumproxy.proxy.limit;
