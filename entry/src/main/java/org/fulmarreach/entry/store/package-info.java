/** Client of the log service that reads through one reader entry per region. */
package org.fulmarreach.entry.store;
