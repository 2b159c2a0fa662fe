package org.fulmarreach.guard;

import org.fulmarreach.runtime.net.FrameLink;

/**
 * A connection that waits for the result of a call. Immutable.
 *
 * @param link connection that the call came on
 * @param correlationId id that pairs the result with the call
 * @param repeated whether the call was known already
 */
record Waiter(FrameLink link, long correlationId, boolean repeated) {}
