/** Distribution of reads by many VMs that choose databases on late figures. */
package org.geraniumproxy.measure.balance;
