/** Numbered, structured events over Flogger. */
package org.fulmarreach.runtime.log;
