/** The machines, zones, members and work that the decisions are about; immutable data only. */
package org.fulmarreach.core.model;
