/** Databases that announce themselves, and the primary of each group as this VM believes it. */
package org.geraniumproxy.core.directory;
