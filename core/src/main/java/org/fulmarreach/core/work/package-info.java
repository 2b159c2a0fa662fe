/** Decisions on batch and standing work. */
package org.fulmarreach.core.work;
