/** Names and numbers that identify VMs, backend servers, groups, customers and log positions. */
package org.geraniumproxy.core.identity;
