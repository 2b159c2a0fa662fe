/** Reading the log service with one reader per region. */
package org.fulmarreach.entry.store;
