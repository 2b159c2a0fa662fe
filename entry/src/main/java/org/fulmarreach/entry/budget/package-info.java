/** The purse of this entry and its reservations. */
package org.fulmarreach.entry.budget;
