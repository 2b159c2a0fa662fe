package org.fulmarreach.guard;

import org.fulmarreach.runtime.net.FrameLink;

/**
 * A connection that waits for the result of a call. Immutable.
 *
 * @param link connection on which the call was received
 * @param correlationId id that matches the result to the call
 * @param repeated whether the call was already known
 */
record Waiter(FrameLink link, long correlationId, boolean repeated) {}
