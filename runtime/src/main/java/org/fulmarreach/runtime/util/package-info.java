/** Clock, actor system and invariant checks shared by the daemon's roles. */
package org.fulmarreach.runtime.util;
