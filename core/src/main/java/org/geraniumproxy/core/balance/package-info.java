/** Distribution of reads over the databases of a group: load reports, the random choice, and ejection. */
package org.geraniumproxy.core.balance;
