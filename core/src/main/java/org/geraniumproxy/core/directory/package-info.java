/** Database entries, and the primary and health of databases as this VM knows them. */
package org.geraniumproxy.core.directory;
