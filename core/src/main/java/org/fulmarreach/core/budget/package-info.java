/** The shared budget: the fold of the stream "budget" and the purse of an entry. */
package org.fulmarreach.core.budget;
