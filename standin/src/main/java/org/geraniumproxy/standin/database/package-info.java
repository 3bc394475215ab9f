/** Stand-in of a database of a group. */
package org.geraniumproxy.standin.database;
