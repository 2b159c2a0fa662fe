package org.fulmarreach.runtime.net;

import org.fulmarreach.core.exc.InvariantViolationException;
import org.fulmarreach.runtime.log.EventLog;
import org.fulmarreach.runtime.log.RuntimeEvent;

/** Keeps a frame that cannot be handled from stopping the actor that received it. Stateless. */
public final class FrameHandling {
    private FrameHandling() {}

    /**
     * Runs the handler of a frame. If the frame lacks fields or has invalid ones, the failure is logged and the
     * connection is closed.
     *
     * @param link connection that the frame arrived on
     * @param handler decodes and applies the frame
     * @throws InvariantViolationException if the handler found the state of this process inconsistent
     */
    public static void handle(FrameLink link, EventLog log, Runnable handler) {
        try {
            handler.run();
        } catch (InvariantViolationException e) {
            throw e;
        } catch (RuntimeException e) {
            log.emit(RuntimeEvent.FRAME_REFUSED, "remote", link.remoteAddress(), "reason", e);
            link.close();
        }
    }
}
