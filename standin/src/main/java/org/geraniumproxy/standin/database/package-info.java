/** Stand-in for a database of a replicated group. */
package org.geraniumproxy.standin.database;
