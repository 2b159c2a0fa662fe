/** The part of the shared budget that this entry may spend, and its reservations. */
package org.fulmarreach.entry.budget;
