/** Settings from flags and environment variables, validated together at start. */
package org.fulmarreach.runtime.cfg;
